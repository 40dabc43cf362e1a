//! Decoding of parts of a JSON text with the place of each part and of each error in the text.

use serde::Deserialize;
use serde_json::error::Category;
use serde_json::value::RawValue;

use crate::decide::document_difference::ItemFields;
use crate::decide::finding::{DocumentPart, Finding, FindingCode, TextPlace};

/// Finding with its place in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedFinding {
    /// Place in the text.
    pub place: TextPlace,
    /// What was found.
    pub finding: Finding,
}

impl PlacedFinding {
    /// Creates the finding of an error of the decoder in a part that starts at a place.
    #[must_use]
    pub fn of_error(start: TextPlace, part: DocumentPart, error: &serde_json::Error) -> Self {
        let inner = TextPlace {
            line: error.line().max(1),
            column: error.column().max(1),
        };
        let code = match error.classify() {
            Category::Data => FindingCode::Field,
            Category::Io | Category::Syntax | Category::Eof => FindingCode::Syntax,
        };
        // The place of the error replaces the one in its text, which is relative to the part.
        let full = error.to_string();
        let text = full
            .rsplit_once(" at line ")
            .map_or(&*full, |(text, _)| text);
        Self {
            place: start.of_inner(inner),
            finding: Finding {
                code,
                part,
                text: text.to_owned(),
            },
        }
    }
}

/// Text of a configuration that is decoded part by part.
#[derive(Debug, Clone, Copy)]
pub struct LocatedText<'a> {
    text: &'a str,
}

impl<'a> LocatedText<'a> {
    /// Start of every text.
    pub const START: TextPlace = TextPlace { line: 1, column: 1 };

    /// Creates a text from the bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns the place of the first byte that is not UTF-8.
    pub fn new(bytes: &'a [u8]) -> Result<Self, PlacedFinding> {
        let text = std::str::from_utf8(bytes).map_err(|error| PlacedFinding {
            place: TextPlace::of_offset(bytes, error.valid_up_to()),
            finding: Finding {
                code: FindingCode::Syntax,
                part: DocumentPart::Whole,
                text: "the text is not UTF-8".to_owned(),
            },
        })?;
        Ok(Self { text })
    }

    /// Returns the text.
    #[must_use]
    pub const fn as_str(&self) -> &'a str {
        self.text
    }

    /// Decodes the whole text.
    ///
    /// # Errors
    ///
    /// Returns the first error in the text.
    pub fn whole<T: Deserialize<'a>>(&self) -> Result<T, PlacedFinding> {
        serde_json::from_str(self.text)
            .map_err(|error| PlacedFinding::of_error(Self::START, DocumentPart::Whole, &error))
    }

    /// Returns the first character that is not white space.
    #[must_use]
    pub fn first_char(&self) -> Option<char> {
        self.text.trim_start().chars().next()
    }

    /// Returns the place at which a part of this text starts.
    #[must_use]
    pub fn place(&self, raw: &RawValue) -> TextPlace {
        TextPlace::of_offset(self.text.as_bytes(), self.offset(raw))
    }

    /// Returns the places at which parts in the order of this text start; reads the text once.
    #[must_use]
    pub fn places(&self, parts: &[&RawValue]) -> Vec<TextPlace> {
        let (mut place, mut start) = (Self::START, 0);
        let places = parts.iter().map(|raw| {
            let offset = self.offset(raw);
            let between = &self.text.as_bytes()[start..];
            place = place.of_inner(TextPlace::of_offset(between, offset - start));
            start = offset;
            place
        });
        places.collect()
    }

    fn offset(&self, raw: &RawValue) -> usize {
        raw.get().as_ptr().addr() - self.text.as_ptr().addr()
    }

    /// Decodes a part of this text; an error is added to the findings.
    pub fn decode<T: Deserialize<'a>>(
        &self,
        raw: &'a RawValue,
        part: DocumentPart,
        findings: &mut Vec<PlacedFinding>,
    ) -> Option<T> {
        let decoded = serde_json::from_str(raw.get());
        let failed = |error| PlacedFinding::of_error(self.place(raw), part, &error);
        decoded.map_err(|error| findings.push(failed(error))).ok()
    }
}

/// Returns the fields of an item as JSON text; none for what is not an object.
#[must_use]
pub fn item_fields(value: &serde_json::Value) -> ItemFields {
    let fields = value.as_object().into_iter().flatten();
    fields
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}

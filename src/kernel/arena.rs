//! Generational arena: stores values under small `Copy` keys.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// Key of one value in an [`Arena`]; the key of a removed value matches no later value.
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    const fn new(index: u32, generation: u32) -> Self {
        Self {
            index,
            generation,
            marker: PhantomData,
        }
    }

    /// Returns the index of the slot, which is below the largest number of values stored at once.
    #[must_use]
    pub const fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

#[derive(Debug, Clone)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Stores values under generational keys and reuses the slots of removed ones.
///
/// ```
/// let mut arena = bulrushslip::kernel::Arena::new();
/// let key = arena.insert("value");
/// assert_eq!(arena.remove(key), Some("value"));
/// assert!(arena.get(key).is_none());
/// ```
#[derive(Debug, Clone)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a value and returns its key.
    ///
    /// # Panics
    ///
    /// Panics when the arena would hold more than `u32::MAX` slots.
    pub fn insert(&mut self, value: T) -> Key<T> {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return Key::new(index, slot.generation);
        }
        let index = u32::try_from(self.slots.len()).expect("an arena holds at most u32::MAX slots");
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        Key::new(index, 0)
    }

    /// Returns the value under the key, or `None` once it is removed.
    #[must_use]
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns a mutable reference to the value under the key, or `None` once it is removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Removes and returns the value under the key, or returns `None` if it is already removed.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Iterates over the keys and values in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().zip(0_u32..).filter_map(|(slot, index)| {
            let value = slot.value.as_ref()?;
            Some((Key::new(index, slot.generation), value))
        })
    }

    /// Iterates over the keys and mutable references to the values, in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        self.slots
            .iter_mut()
            .zip(0_u32..)
            .filter_map(|(slot, index)| {
                let generation = slot.generation;
                let value = slot.value.as_mut()?;
                Some((Key::new(index, generation), value))
            })
    }

    /// Returns the number of stored values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Reports whether the arena stores no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

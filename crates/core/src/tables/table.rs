//! Tables with dense rows.

use std::collections::HashMap;
use std::hash::Hash;

/// A table with dense rows and an index from key to row.
///
/// Iteration follows the dense rows, so its order depends only on the sequence of insertions and
/// removals.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::tables::Table;
///
/// let mut table = Table::default();
/// table.insert("a", 1);
/// assert_eq!(table.get(&"a"), Some(&1));
/// assert_eq!(table.remove(&"a"), Some(1));
/// assert!(table.is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
    index: HashMap<K, usize>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            index: HashMap::new(),
        }
    }
}

/// # Rows
impl<K: Clone + Eq + Hash, V> Table<K, V> {
    /// Inserts a row and returns the one it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if let Some(&at) = self.index.get(&key) {
            return Some(std::mem::replace(&mut self.rows[at].1, value));
        }
        self.index.insert(key.clone(), self.rows.len());
        self.rows.push((key, value));
        None
    }

    /// Returns the row of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.index.get(key).map(|&at| &self.rows[at].1)
    }

    /// Returns the row of a key for modification.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.index.get(key).map(|&at| &mut self.rows[at].1)
    }

    /// Returns the row of a key for modification; inserts it first if it is missing.
    pub fn get_or_insert_with(&mut self, key: &K, value: impl FnOnce() -> V) -> &mut V {
        let at = match self.index.get(key) {
            Some(&at) => at,
            None => {
                self.insert(key.clone(), value());
                self.rows.len() - 1
            }
        };
        &mut self.rows[at].1
    }

    /// Removes a row and returns it. The last row moves into its place.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.index.remove(key)?;
        let (_, value) = self.rows.swap_remove(at);
        if let Some((moved, _)) = self.rows.get(at) {
            self.index.insert(moved.clone(), at);
        }
        Some(value)
    }

    /// Removes the rows for which the condition is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
        self.index = self
            .rows
            .iter()
            .enumerate()
            .map(|(at, (key, _))| (key.clone(), at))
            .collect();
    }
}

/// # Reading
impl<K: Eq + Hash, V> Table<K, V> {
    /// Returns whether a row exists.
    pub fn contains_key(&self, key: &K) -> bool {
        self.index.contains_key(key)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the rows.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the rows for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }
}

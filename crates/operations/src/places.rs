//! Stable positions for names while the list of names changes, so that an index keeps referring to the same name.

/// Name of an empty position. It holds a NUL, which no HTTP message can contain.
pub const EMPTY: &str = "\0";

/// Names by position. A name keeps its position while it is listed, and gets it back if it is listed again before the
/// position is reused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    places: Vec<Place>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    name: String,
    listed: bool,
}

impl Places {
    /// Applies the current list and returns the position of each name, in the order of the list. A position that this
    /// list empties is reused by a later list at the earliest, so that open requests of the old name and requests of a
    /// new one do not share it at once.
    pub fn settle<'a>(&mut self, names: impl IntoIterator<Item = &'a str> + Clone) -> Vec<usize> {
        let free: Vec<usize> = (0..self.places.len()).filter(|i| !self.places[*i].listed).collect();
        let mut free =
            free.into_iter().filter(|i| !names.clone().into_iter().any(|n| n == self.places[*i].name));
        let found: Vec<Option<usize>> =
            names.clone().into_iter().map(|n| self.places.iter().position(|p| p.name == n)).collect();
        let given: Vec<Option<usize>> =
            found.iter().map(|f| if f.is_some() { *f } else { free.next() }).collect();
        self.places.iter_mut().for_each(|p| p.listed = false);
        let mut settled = Vec::with_capacity(given.len());
        for (name, place) in names.into_iter().zip(given) {
            let entry = Place { name: name.to_owned(), listed: true };
            match place {
                Some(place) => {
                    self.places[place] = entry;
                    settled.push(place);
                }
                None => {
                    self.places.push(entry);
                    settled.push(self.places.len() - 1);
                }
            }
        }
        settled
    }

    /// Returns the name at each position, and [`EMPTY`] where none is listed.
    pub fn names(&self) -> Vec<String> {
        let shown = |p: &Place| if p.listed { p.name.clone() } else { EMPTY.to_owned() };
        self.places.iter().map(shown).collect()
    }

    /// Returns the number of positions, including empty ones.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there are no positions at all.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Moves `items` to the positions in `settled`, as returned by [`Places::settle`]; `empty` makes the item for every
    /// other position.
    pub fn arrange<T>(&self, settled: &[usize], items: Vec<T>, empty: impl Fn(usize) -> T) -> Vec<T> {
        let mut arranged: Vec<T> = (0..self.places.len()).map(empty).collect();
        for (place, item) in settled.iter().zip(items) {
            if let Some(slot) = arranged.get_mut(*place) {
                *slot = item;
            }
        }
        arranged
    }
}

#[cfg(test)]
mod tests;

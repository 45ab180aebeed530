//! Where names stand while lists of them change: whatever refers to a name by its place goes on meaning it.

/// The name of a place that stands empty: no HTTP message can hold it.
pub const EMPTY: &str = "\0";

/// Names by place. A name keeps its place for as long as it is listed, and gets it back if it is listed again
/// before another has taken it.
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
    /// Takes the list as it is now, and gives each name's place. A place that falls empty by this list is given
    /// away by a later one at the earliest, so that what is still open does not mix with what is new at once.
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

    /// The names by place; [`EMPTY`] where none is listed.
    pub fn names(&self) -> Vec<String> {
        let shown = |p: &Place| if p.listed { p.name.clone() } else { EMPTY.to_owned() };
        self.places.iter().map(shown).collect()
    }

    /// How many places there are, empty ones among them.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// There is no place yet.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Puts items, in the order of the names that were settled, where they stand; `empty` tells what stands
    /// elsewhere.
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

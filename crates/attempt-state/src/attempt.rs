//! The states of one try, and what each of them allows.
//!
//! | state | another server | a promise that it has not run |
//! | --- | --- | --- |
//! | [`State::NotSent`], [`State::TurnedAway`] | yes | yes |
//! | [`State::Sending`]: its body is still going out | no | no: it may be whole in a moment |
//! | [`State::MayHaveRun`], [`State::Answered`] | only what is repeatable | only what is repeatable |
//! | [`State::Ended`]: the client has its answer | no | no |

/// Whether a try may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    /// Once at most.
    Once,
    /// Again, by whatever rules its sender has: nothing is guarded here.
    #[default]
    Often,
}

/// Where a try stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No server has been sent anything of it.
    NotSent,
    /// Its body is on its way to a server, and not whole there.
    Sending,
    /// A server has it whole, or had: nothing proves that it did not run.
    MayHaveRun,
    /// A server has said what came of it.
    Answered,
    /// All servers that it went to have not run it and never will.
    TurnedAway,
    /// Its client has been told.
    Ended,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It ran, and its answer is a success.
    Done,
    /// It ran, and its answer is none.
    Failed,
    /// It certainly has not run and never will.
    TurnedAway,
    /// Given up from this side.
    CalledOff,
    /// Anything else: it may have run.
    Lost,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// A server's own answer.
    Served,
    /// A promise: it has not run and never will.
    Refused,
    /// No promise.
    Failed,
}

/// A decision that was not carried out, as it would have broken the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A second server, for a try that may have run.
    SecondServer,
    /// A promise, for a try that may have run.
    FalsePromise,
}

impl Breach {
    /// It in words, for logs.
    pub fn text(self) -> &'static str {
        match self {
            Breach::SecondServer => "a second server was asked for a try that may have run; it was not sent",
            Breach::FalsePromise => "a promise was asked for a try that may have run; told as failed",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leg {
    Kept,
    Sending,
    Out,
    Done,
    Failed,
    NotRun,
    Lost,
}

impl Leg {
    fn may_have_run(self) -> bool {
        matches!(self, Leg::Out | Leg::Done | Leg::Failed | Leg::Lost)
    }

    fn is_live(self) -> bool {
        matches!(self, Leg::Sending | Leg::Out)
    }
}

/// One try. Attempts are numbered from 0 in the order in which they were begun.
#[derive(Clone, Debug, Default)]
pub struct Cue {
    repeats: Repeats,
    legs: Vec<Leg>,
    told: bool,
}

impl Cue {
    /// A try that has gone nowhere yet.
    pub fn new(repeats: Repeats) -> Self {
        Cue { repeats, legs: Vec::new(), told: false }
    }

    /// It runs once at most.
    pub fn is_once(&self) -> bool {
        self.repeats == Repeats::Once
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        let any = |leg| self.legs.contains(&leg);
        match () {
            () if self.told => State::Ended,
            () if any(Leg::Done) || any(Leg::Failed) => State::Answered,
            () if any(Leg::Out) || any(Leg::Lost) => State::MayHaveRun,
            () if any(Leg::Sending) => State::Sending,
            () if any(Leg::NotRun) => State::TurnedAway,
            () => State::NotSent,
        }
    }

    /// Nothing proves that it has not run.
    pub fn may_have_run(&self) -> bool {
        self.legs.iter().any(|leg| leg.may_have_run())
    }

    /// An attempt is out that may yet run it.
    pub fn is_out(&self) -> bool {
        self.legs.iter().any(|leg| leg.is_live())
    }

    /// A server has all of it and has not said what came of it.
    pub fn is_at_work(&self) -> bool {
        self.legs.contains(&Leg::Out)
    }

    /// This attempt has gone out whole and has not ended.
    pub fn is_whole(&self, attempt: usize) -> bool {
        self.legs.get(attempt) == Some(&Leg::Out)
    }

    /// Books the next attempt; nothing of it is sent before [`Cue::send`] allows it.
    pub fn begin(&mut self) -> usize {
        self.legs.push(Leg::Kept);
        self.legs.len() - 1
    }

    /// Asks to send an attempt that was begun; `whole`: with all of its body.
    ///
    /// # Errors
    /// When it may run a second time by that.
    pub fn send(&mut self, attempt: usize, whole: bool) -> Result<(), Breach> {
        let busy = |leg: &Leg| leg.may_have_run() || leg.is_live();
        if self.is_once() && self.legs.iter().any(busy) {
            return Err(Breach::SecondServer);
        }
        if let Some(leg) = self.legs.get_mut(attempt).filter(|leg| **leg == Leg::Kept) {
            *leg = if whole { Leg::Out } else { Leg::Sending };
        }
        Ok(())
    }

    /// The last byte of an attempt's body goes out.
    pub fn whole(&mut self, attempt: usize) {
        if let Some(leg) = self.legs.get_mut(attempt).filter(|leg| **leg == Leg::Sending) {
            *leg = Leg::Out;
        }
    }

    /// An attempt has ended. What comes after its end changes nothing.
    pub fn ends(&mut self, attempt: usize, how: How) {
        let Some(leg) = self.legs.get_mut(attempt) else { return };
        *leg = match (*leg, how) {
            (Leg::Kept, _) | (Leg::Sending, How::CalledOff) => Leg::NotRun,
            (Leg::Sending | Leg::Out, How::Done) => Leg::Done,
            (Leg::Sending | Leg::Out, How::Failed) => Leg::Failed,
            (Leg::Sending | Leg::Out, How::TurnedAway) => Leg::NotRun,
            (Leg::Sending | Leg::Out, How::Lost) | (Leg::Out, How::CalledOff) => Leg::Lost,
            (ended, _) => ended,
        };
    }

    /// Asks to tell the client this; what it may be told, and whether that differs. Asked once: with the
    /// answer the try has ended.
    pub fn tell(&mut self, word: Word) -> (Word, Option<Breach>) {
        self.told = true;
        let busy = self.may_have_run() || self.is_out();
        match word {
            Word::Refused if self.is_once() && busy => (Word::Failed, Some(Breach::FalsePromise)),
            word => (word, None),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sent(whole: bool) -> Cue {
        let mut cue = Cue::new(Repeats::Once);
        assert_eq!((cue.begin(), cue.send(0, whole)), (0, Ok(())));
        cue
    }

    /// What each end of a first attempt allows: the state, a second server, and a promise.
    #[test]
    fn only_what_certainly_has_not_run_goes_on_or_is_promised() {
        use How::*;
        for (whole, how, state, free) in [
            (true, Done, State::Answered, false),
            (true, Failed, State::Answered, false),
            (true, Lost, State::MayHaveRun, false),
            (true, CalledOff, State::MayHaveRun, false),
            (true, TurnedAway, State::TurnedAway, true),
            (false, CalledOff, State::TurnedAway, true),
            (false, Lost, State::MayHaveRun, false),
        ] {
            let mut cue = sent(whole);
            assert_eq!(cue.state(), if whole { State::MayHaveRun } else { State::Sending });
            assert_eq!(
                cue.clone().tell(Word::Refused).0,
                Word::Failed,
                "while it is out there is no promise"
            );
            cue.ends(0, how);
            cue.ends(0, TurnedAway);
            assert_eq!(cue.state(), state, "{how:?}: the first end counts");
            let second = cue.begin();
            assert_eq!(cue.clone().send(second, true).is_ok(), free, "{how:?}");
            let told = cue.tell(Word::Refused);
            let want = if free { (Word::Refused, None) } else { (Word::Failed, Some(Breach::FalsePromise)) };
            assert_eq!((told, cue.state()), (want, State::Ended), "{how:?}");
        }
    }

    #[test]
    fn a_body_that_has_gone_out_whole_may_have_run_and_one_that_is_kept_has_not() {
        let mut cue = sent(false);
        cue.whole(0);
        cue.ends(0, How::CalledOff);
        assert_eq!(cue.state(), State::MayHaveRun);
        let second = cue.begin();
        assert_eq!(cue.send(second, true), Err(Breach::SecondServer));
        cue.ends(second, How::Lost);
        assert_eq!(cue.legs, [Leg::Lost, Leg::NotRun], "what was not sent did not run, however it ends");
    }

    #[test]
    fn what_is_repeatable_is_left_to_its_sender() {
        let mut cue = Cue::new(Repeats::Often);
        for attempt in 0..3 {
            assert_eq!((cue.begin(), cue.send(attempt, true)), (attempt, Ok(())));
        }
        assert_eq!(cue.tell(Word::Refused), (Word::Refused, None));
    }
}

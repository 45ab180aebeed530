//! Random events, and the recovery at the end of a schedule.

use super::*;

impl World {
    /// Executes one random event.
    pub(super) fn step(&mut self) -> Result<(), String> {
        match self.below(100) {
            0..=54 if !self.in_flight.is_empty() => self.deliver_any(),
            55..=56 if !self.delayed.is_empty() => self.deliver_delayed(),
            0..=74 => {
                self.sync_any();
                Ok(())
            }
            75..=78 => {
                self.fail_any_site();
                Ok(())
            }
            79..=82 => {
                self.start_any();
                Ok(())
            }
            83..=97 => self.run_any_client(),
            98 => self.time_out_any(),
            99 => self.abandon_any(),
            _ => Ok(()),
        }
    }

    /// Delivers, duplicates, drops or delays a random message.
    fn deliver_any(&mut self) -> Result<(), String> {
        let at = self.below(self.in_flight.len());
        let envelope = match self.below(40) {
            0 => self.in_flight[at].clone(),
            1 => {
                self.in_flight.swap_remove(at);
                return Ok(());
            }
            2..=4 => {
                let delayed = self.in_flight.swap_remove(at);
                self.delayed.push(delayed);
                return Ok(());
            }
            _ => self.in_flight.swap_remove(at),
        };
        self.deliver(envelope)
    }

    fn deliver_delayed(&mut self) -> Result<(), String> {
        let at = self.below(self.delayed.len());
        let envelope = self.delayed.swap_remove(at);
        self.deliver(envelope)
    }

    fn sync_any(&mut self) {
        if let Some(site) = self.random_index(SITES, |world, site| !world.sites[site].unsynced.is_empty()) {
            self.sync(site);
        }
    }

    /// Refuses a write of a random site, crashes it or loses its disk.
    fn fail_any_site(&mut self) {
        let crash_rarity = self.crash_rarity;
        if self.one_in(crash_rarity) {
            let site = self.below(SITES);
            match self.below(4) {
                0 => self.refuse_write(site),
                1..=2 => self.crash(site),
                _ => self.lose_disk(site),
            }
        }
    }

    fn start_any(&mut self) {
        if let Some(site) = self.random_index(SITES, |world, site| world.sites[site].up.is_none()) {
            // Spare machines are started rarely.
            if self.sites[site].durable.is_some() || self.has_lost_disk(site) || self.one_in(4) {
                self.start(site);
            }
        }
    }

    fn run_any_client(&mut self) -> Result<(), String> {
        let change_rarity = self.change_rarity;
        let among = if self.one_in(1 + change_rarity) { CLIENTS + SITES } else { CLIENTS };
        let is_idle = |world: &World, client: usize| {
            matches!(
                world.clients[client].state,
                ClientState::Idle | ClientState::Operating { backing_off: true, .. }
            )
        };
        match self.random_index(among, is_idle) {
            Some(client) if matches!(self.clients[client].state, ClientState::Idle) => self.begin(client),
            Some(client) => self.begin_round(client),
            None => Ok(()),
        }
    }

    fn time_out_any(&mut self) -> Result<(), String> {
        let client = self.below(CLIENTS + SITES);
        match &mut self.clients[client].state {
            ClientState::Operating { operation, .. } => {
                let action = operation.on_timeout();
                self.execute(client, action)
            }
            _ => self.give_up(client),
        }
    }

    fn abandon_any(&mut self) -> Result<(), String> {
        let client = self.below(CLIENTS + SITES);
        match self.below(8) {
            0 => self.replace_client(client),
            1..=2 => self.give_up(client)?,
            _ => {}
        }
        Ok(())
    }

    fn has_lost_disk(&self, site: usize) -> bool {
        self.lost_disks.iter().any(|voter| voter.address == site.to_string())
    }

    /// Ends all faults, and checks that every site becomes a voter and that a new client that knows one site can read,
    /// each within the step limit of `run_until_idle`.
    pub(super) fn recover_and_check(&mut self) -> Result<(), String> {
        for client in 0..self.clients.len() {
            self.give_up(client)?;
        }
        for site in 0..SITES {
            if self.sites[site].up.is_none() {
                self.start(site);
            }
            self.sync(site);
        }
        self.in_flight.append(&mut self.delayed);
        for site in 0..SITES {
            let this_voter = VoterId { address: site.to_string(), disk_id: self.sites[site].disk_id };
            let client = CLIENTS + site;
            for other in 0..SITES {
                self.learn_from_site(client, other);
            }
            self.operate(client, Task::ChangeVoters(VoterChange::AddVoter(this_voter.clone())), None)?;
            self.run_until_idle(client)?;
            if !self.clients[client].known.configuration(&self.founders).voters.contains(&this_voter) {
                return Err(format!("{this_voter:?} was not added to the voters"));
            }
        }
        self.replace_client(0);
        self.learn_from_site(0, SITES - 1);
        self.clients[0].min_changes = self.checker.longest_history.len();
        self.operate(0, Task::Read, None)?;
        self.run_until_idle(0)?;
        self.checker.check_complete()
    }

    /// Delivers all messages until the client's operation is complete.
    ///
    /// # Errors
    /// When it is not complete after 40 steps.
    pub(super) fn run_until_idle(&mut self, client: usize) -> Result<(), String> {
        for _ in 0..40 {
            for envelope in std::mem::take(&mut self.in_flight) {
                self.deliver(envelope)?;
            }
            (0..SITES).for_each(|site| self.sync(site));
            match &self.clients[client].state {
                ClientState::Idle => return Ok(()),
                ClientState::Operating { backing_off: true, .. } => self.begin_round(client)?,
                _ => {}
            }
        }
        let configuration = self.clients[client].known.configuration(&self.founders);
        Err(format!(
            "the operation of client {client} did not end although all sites run: {configuration:?}, lost disks {:?}",
            self.lost_disks
        ))
    }
}

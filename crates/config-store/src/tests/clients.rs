//! Actions of clients: reading, changing the value, changing the voters.

use super::*;

impl World {
    /// Passes the durable record of a site to a client, as a hint that may not be chosen.
    pub(super) fn learn_from_site(&mut self, client: usize, site: usize) {
        if let (Some(acceptor), true) = (&self.sites[site].up, self.sites[site].unsynced.is_empty()) {
            let local_state =
                acceptor.local_state(&LocalStateRequest { known: ProposalNumber::default() }, Vec::new());
            self.clients[client].known.learn_from(&local_state);
        }
    }

    /// Begins a random operation of a client: a quorum read, a read round or a change.
    pub(super) fn begin(&mut self, client: usize) -> Result<(), String> {
        if self.one_in(2) {
            let site = self.below(SITES);
            self.learn_from_site(client, site);
        }
        if client >= CLIENTS {
            return self.begin_voter_change(client);
        }
        let min_changes = self.checker.longest_history.len();
        let what = self.below(4);
        let is_conditional = self.one_in(2);
        let this_client = &mut self.clients[client];
        this_client.min_changes = min_changes;
        this_client.serial += 1;
        if what == 0 {
            let configuration = this_client.known.configuration(&self.founders).clone();
            let addresses = configuration.addresses();
            this_client.state = ClientState::Peeking { configuration, responses: BTreeMap::new() };
            self.send(client, &addresses, Request::Peek);
            return Ok(());
        }
        let id = (what > 1).then(|| {
            self.changes += 1;
            self.changes
        });
        let change = id.map(|id| -> Change {
            Box::new(move |before, edition| {
                if is_conditional && edition != min_changes as u64 {
                    return Err((edition, history(before)));
                }
                Ok([before.unwrap_or_default(), &id.to_be_bytes()].concat())
            })
        });
        self.operate(client, change.map_or(Task::Read, Task::Change), id)
    }

    /// Begins a voter change of a site: it joins, removes one or two voters, or leaves before a planned shutdown.
    pub(super) fn begin_voter_change(&mut self, client: usize) -> Result<(), String> {
        let at = client - CLIENTS;
        if self.sites[at].up.is_none() {
            return Ok(());
        }
        self.learn_from_site(client, at);
        let this_voter = VoterId { address: at.to_string(), disk_id: self.sites[at].disk_id };
        let change_rarity = self.change_rarity;
        let known = self.clients[client].known.clone();
        if let (Some(acceptor), Some(record)) = (&mut self.sites[at].up, &known.record) {
            // It stores the record that it has learned; this becomes durable with the next write and is not a vote.
            acceptor.adopt(known.proposal, record);
        }
        let configuration = known.configuration(&self.founders).clone();
        let removed_on_shutdown = removable_on_shutdown(&configuration, &this_voter, &[], 1);
        let voter_change = if !removed_on_shutdown.is_empty() && self.one_in(2) {
            self.clients[client].is_shutting_down = true;
            VoterChange::RemoveVoters(removed_on_shutdown, configuration.proposed_in)
        } else if !configuration.voters.contains(&this_voter) || configuration.is_changing() {
            VoterChange::AddVoter(this_voter)
        } else if configuration.voters.len() > 3 && self.one_in(change_rarity) {
            let first = self.below(configuration.voters.len());
            let second = self.below(configuration.voters.len());
            let two = [configuration.voters[first].clone(), configuration.voters[second].clone()];
            VoterChange::RemoveVoters(two.into(), configuration.proposed_in)
        } else {
            return Ok(());
        };
        self.operate(client, Task::ChangeVoters(voter_change), None)
    }

    pub(super) fn operate(
        &mut self,
        client: usize,
        task: Task<Change>,
        change_id: Option<u32>,
    ) -> Result<(), String> {
        let this_client = &mut self.clients[client];
        this_client.serial += 1;
        this_client.is_removing = matches!(task, Task::ChangeVoters(VoterChange::RemoveVoters(..)));
        let operation = Operation::new(
            task,
            this_client.proposer_id,
            self.founders.clone(),
            this_client.highest_round,
            this_client.known.clone(),
        );
        this_client.state =
            ClientState::Operating { operation: Box::new(operation), change_id, backing_off: true };
        self.begin_round(client)
    }

    /// Begins the first round or the next one after the back-off.
    pub(super) fn begin_round(&mut self, client: usize) -> Result<(), String> {
        let ClientState::Operating { operation, backing_off, .. } = &mut self.clients[client].state else {
            return Ok(());
        };
        *backing_off = false;
        let action = operation.begin_round();
        self.execute(client, action)
    }

    pub(super) fn on_response(
        &mut self,
        client: usize,
        serial: u64,
        phase_id: PhaseId,
        site: usize,
        response: VoterResponse,
    ) -> Result<(), String> {
        let this_client = &mut self.clients[client];
        if this_client.serial != serial {
            return Ok(());
        }
        match &mut this_client.state {
            ClientState::Idle => Ok(()),
            ClientState::Operating { operation, .. } => {
                let action = operation.on_response(phase_id, &site.to_string(), response);
                self.execute(client, action)
            }
            ClientState::Peeking { configuration, responses } => {
                responses.insert(site.to_string(), response);
                let Some(seen) = summarize_peek(configuration, responses).filter(|seen| seen.agreed) else {
                    return Ok(());
                };
                let min_changes = this_client.min_changes;
                this_client.state = ClientState::Idle;
                let record = self.proposals.get(&seen.proposal);
                let reported = history(record.map(|record| &record.value[..]));
                self.checker.check_history(seen.edition, &reported, min_changes)
            }
        }
    }

    /// Executes the action that a client's operation requests.
    pub(super) fn execute(&mut self, client: usize, action: Action<(u64, Vec<u32>)>) -> Result<(), String> {
        let ClientState::Operating { operation, backing_off, change_id } = &mut self.clients[client].state
        else {
            return Ok(());
        };
        let recipients = operation.recipients().to_vec();
        match action {
            Action::Wait => Ok(()),
            Action::Prepare(prepare) => {
                self.send(client, &recipients, Request::Prepare(prepare));
                Ok(())
            }
            Action::Accept(accept) => {
                let reads = change_id.is_none() && client < CLIENTS;
                let before = self.proposals.insert(accept.proposal, accept.record.clone());
                if before.is_some_and(|before| before != accept.record) {
                    return Err(format!("two records in proposal {}", accept.proposal));
                }
                if self.fault == Fault::UnconfirmedReads && reads {
                    let reported = history(Some(&accept.record.value));
                    return self.complete_operation(
                        client,
                        Outcome::Chosen(reported.len() as u64, Some(accept.record.value)),
                    );
                }
                self.send(client, &recipients, Request::Accept(accept));
                Ok(())
            }
            Action::BackOff => {
                *backing_off = true;
                Ok(())
            }
            Action::Done(outcome) => self.complete_operation(client, outcome),
        }
    }

    /// Ends a client's operation and keeps the record and round that it has learned. Returns the id of its change, and
    /// whether the change may be chosen.
    pub(super) fn end_operation(&mut self, client: usize) -> (Option<u32>, bool) {
        let this_client = &mut self.clients[client];
        (this_client.is_removing, this_client.is_shutting_down) = (false, false);
        match std::mem::replace(&mut this_client.state, ClientState::Idle) {
            ClientState::Operating { operation, change_id, .. } => {
                this_client.highest_round = operation.highest_round();
                if operation.known().proposal > this_client.known.proposal {
                    this_client.known = operation.known().clone();
                }
                (change_id, operation.may_be_chosen())
            }
            _ => (None, false),
        }
    }

    /// Ends a client's operation with an outcome, and passes the result to the checker.
    pub(super) fn complete_operation(
        &mut self,
        client: usize,
        outcome: Outcome<(u64, Vec<u32>)>,
    ) -> Result<(), String> {
        let min_changes = self.clients[client].min_changes;
        let is_shutting_down = self.clients[client].is_shutting_down;
        let (id, _) = self.end_operation(client);
        if !matches!(outcome, Outcome::Unknown) && self.fault != Fault::UnconfirmedReads {
            self.chosen = self.chosen.max(self.clients[client].known.proposal);
        }
        match (outcome, id) {
            (Outcome::Chosen(edition, value), id) => {
                let reported = history(value.as_deref());
                if let Some(id) = id {
                    if reported.last() != Some(&id) || reported.len() <= min_changes {
                        return Err(format!(
                            "change {id} acknowledged with {reported:?}, after {min_changes} changes"
                        ));
                    }
                    self.checker.acknowledged.insert(id);
                }
                self.voter_changes += u32::from(client >= CLIENTS);
                let min_changes = if id.is_some() || client >= CLIENTS { 0 } else { min_changes };
                if is_shutting_down {
                    self.crash(client - CLIENTS);
                }
                self.checker.check_history(edition, &reported, min_changes)
            }
            (Outcome::Rejected((edition, reported)), Some(id)) => {
                self.checker.check_history(edition, &reported, min_changes)?;
                self.checker.record_not_made(id)
            }
            (Outcome::Rejected(_), None) => Err("a read was rejected".into()),
            (Outcome::Unknown, _) => Ok(()),
        }
    }

    /// Abandons a client's operation; its change counts as not made if it was never proposed.
    pub(super) fn give_up(&mut self, client: usize) -> Result<(), String> {
        match self.end_operation(client) {
            (Some(id), false) => self.checker.record_not_made(id),
            _ => Ok(()),
        }
    }

    /// Replaces a client's process by a new one without state.
    pub(super) fn replace_client(&mut self, client: usize) {
        self.incarnations += 1;
        self.clients[client] = Client::new(self.incarnations);
    }

    pub(super) fn send(&mut self, client: usize, recipients: &[String], request: Request) {
        let this_client = &self.clients[client];
        let phase_id = match &this_client.state {
            ClientState::Operating { operation, .. } => operation.phase_id(),
            _ => PhaseId { proposal: ProposalNumber::default(), accepting: false },
        };
        let (proposer_id, serial) = (this_client.proposer_id, this_client.serial);
        for name in recipients {
            let (site, request) = (name.parse().unwrap(), request.clone());
            self.in_flight.push(Envelope::Request { client, proposer_id, serial, phase_id, site, request });
        }
    }
}

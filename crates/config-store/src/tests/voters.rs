//! Actions of sites: responding, writing, crashing, starting and losing disks.

use super::*;

impl World {
    /// Delivers a message to its site or client.
    pub(super) fn deliver(&mut self, envelope: Envelope) -> Result<(), String> {
        match envelope {
            Envelope::Request { client, proposer_id, serial, phase_id, site: at, request } => {
                let site = &mut self.sites[at];
                let Some(acceptor) = &mut site.up else { return Ok(()) };
                let response = match request {
                    Request::Prepare(prepare) => acceptor.prepare(&prepare).0,
                    Request::Accept(accept) => acceptor.accept(&accept).0,
                    // Only durable state is visible: the program completes a write before it takes the next request.
                    Request::Peek if !site.unsynced.is_empty() => return Ok(()),
                    Request::Peek => acceptor.peek(),
                };
                site.unsynced.push(Envelope::Response {
                    client,
                    proposer_id,
                    serial,
                    phase_id,
                    site: at,
                    response,
                });
                if self.fault == Fault::RespondsBeforeWrite {
                    let answered = std::mem::take(&mut self.sites[at].unsynced);
                    self.in_flight.extend(answered);
                }
                Ok(())
            }
            Envelope::Response { client, proposer_id, serial, phase_id, site, response } => {
                if self.clients[client].proposer_id != proposer_id {
                    return Ok(());
                }
                if self.fault == Fault::CountsResponseTwice {
                    let other = (site + 1) % SITES;
                    let forged = VoterResponse { disk_id: self.sites[other].disk_id, ..response.clone() };
                    self.on_response(client, serial, phase_id, other, forged)?;
                }
                self.on_response(client, serial, phase_id, site, response)
            }
        }
    }

    /// Makes a site's state durable and sends the responses that waited for it.
    pub(super) fn sync(&mut self, site: usize) {
        let site = &mut self.sites[site];
        if let Some(acceptor) = &site.up {
            site.durable = Some((acceptor.state().clone(), acceptor.record().cloned()));
        }
        self.in_flight.append(&mut site.unsynced);
    }

    /// Fails a site's write: its state goes back to the durable one, and the responses report the failure.
    pub(super) fn refuse_write(&mut self, site: usize) {
        let site = &mut self.sites[site];
        let (Some(acceptor), Some((state, record))) = (&mut site.up, &site.durable) else { return };
        *acceptor = Acceptor::restored(state.clone(), record.clone()).unwrap();
        for mut envelope in site.unsynced.drain(..) {
            if let Envelope::Response { response, .. } = &mut envelope {
                *response = acceptor.respond(ResponseStatus::StorageUnavailable);
            }
            self.in_flight.push(envelope);
        }
    }

    /// Crashes a site, before or after its pending write.
    pub(super) fn crash(&mut self, at: usize) {
        let written = self.one_in(2) && self.fault != Fault::RespondsBeforeWrite;
        let site = &mut self.sites[at];
        if let (Some(acceptor), true) = (&site.up, written) {
            // The write was completed, but the responses were not sent.
            site.durable = Some((acceptor.state().clone(), acceptor.record().cloned()));
        }
        site.unsynced.clear();
        site.up = None;
        self.replace_client(CLIENTS + at);
    }

    /// Starts a site with its durable state, or with an empty disk.
    pub(super) fn start(&mut self, at: usize) {
        let id = self.random.next_u64() | 1;
        let founders: Vec<String> = self.founders.addresses();
        let site = &mut self.sites[at];
        let acceptor = match &site.durable {
            Some((state, record)) => Acceptor::restored(state.clone(), record.clone()).unwrap(),
            None if self.fault == Fault::VotesWithoutDisk && site.disk_id != 0 => {
                Acceptor::fresh(site.disk_id)
            }
            None if self.fault == Fault::VotesWithoutDisk && at < founders.len() => {
                Acceptor::founded(founders)
            }
            None => Acceptor::fresh(id),
        };
        site.disk_id = acceptor.state().disk_id;
        site.durable = Some((acceptor.state().clone(), acceptor.record().cloned()));
        site.up = Some(acceptor);
    }

    /// Loses the disk of a site, if each configuration that is or may come into force keeps a quorum without lost
    /// disks.
    pub(super) fn lose_disk(&mut self, at: usize) {
        let voter = VoterId { address: at.to_string(), disk_id: self.sites[at].disk_id };
        // The program removes only voters that are lost already, so no disk is lost while a removal is in progress.
        if self.sites[at].durable.is_none() || self.clients.iter().any(|client| client.is_removing) {
            return;
        }
        let mut lost_disks = self.lost_disks.clone();
        lost_disks.insert(voter);
        let in_force = self.proposals.range(self.chosen..).map(|(_, record)| record.configuration.as_ref());
        let mut in_force: Vec<&VoterConfiguration> =
            in_force.map(|configuration| configuration.unwrap_or(&self.founders)).collect();
        if self.chosen == ProposalNumber::default() {
            in_force.push(&self.founders);
        }
        if in_force.iter().all(|configuration| configuration.quorum(|voter| !lost_disks.contains(voter))) {
            self.lost_disks = lost_disks;
            self.crash(at);
            self.sites[at].durable = None;
            self.disk_losses += 1;
        }
    }
}

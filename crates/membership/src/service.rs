//! The membership service: probes, exchanges and repair.
//!
//! One task owns the table. Calls to other nodes run in tasks of their own and
//! bring their results back as messages, so a slow peer never stops the task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::{NodeName, ZoneName};
use barleyspar_kernel::{Address, Inbox, Kernel, Stage, mailbox};
use barleyspar_peer::{PeerDispatch, PeerError, PeerHandler, PeerTransport, call, decode, encode};
use bytes::Bytes;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::messages::{Answer, Exchange, Request};
use crate::{MemberRecord, MemberStatus, MembershipConfig, PEER_SERVICE, Table, View};

/// Messages waiting at the service.
const MAILBOX_CAPACITY: usize = 1024;
/// Time for a repair call.
const REPAIR_TIME_LIMIT: Duration = Duration::from_secs(3);
/// A tick that comes later than this many intervals means that this node was
/// itself frozen; it then suspects nobody for want of answers.
const FROZEN_INTERVALS: u32 = 3;

/// Who this node is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address for calls of other nodes.
    pub address: SocketAddr,
    /// Larger than at any earlier start under this name: start time in milliseconds.
    pub incarnation: u64,
}

/// Another node has read further in the control log.
#[derive(Debug, Clone, Copy)]
pub struct PeerAhead {
    /// The node's peer address.
    pub address: SocketAddr,
    /// How far it has read.
    pub log_position: u64,
}

enum Message {
    Call(Request, oneshot::Sender<Answer>),
    Answered(Exchange),
    Unanswered(NodeName, u64),
    Compared(SocketAddr, Vec<MemberRecord>),
    Leave(oneshot::Sender<()>),
}

/// Handle to the membership service.
#[derive(Clone)]
pub struct MembershipHandle {
    address: Address<Message>,
    view: watch::Receiver<Arc<View>>,
    contact: watch::Receiver<Instant>,
}

impl MembershipHandle {
    /// When another node last answered this one; the start if none ever did.
    pub fn last_contact(&self) -> Instant {
        *self.contact.borrow()
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// A receiver that changes with each new view.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Announces that this node is leaving.
    pub async fn leave(&self) {
        if self.address.ask(Message::Leave).await.is_err() {
            tracing::debug!("membership ended before this node announced its leave");
        }
    }
}

struct Handler {
    address: Address<Message>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let request = decode(&body)?;
        let answer = self.address.ask(|reply| Message::Call(request, reply));
        let answer = answer
            .await
            .map_err(|error| PeerError::Refused(error.to_string()))?;
        encode(&answer)
    }
}

/// What the service works with.
struct Parts {
    config: MembershipConfig,
    kernel: Kernel,
    transport: Arc<dyn PeerTransport>,
    address: Address<Message>,
    view: watch::Sender<Arc<View>>,
    contact: watch::Sender<Instant>,
    log_position: watch::Receiver<u64>,
    ahead: Address<PeerAhead>,
}

/// Starts the service. `log_position` tells how far this node has read the
/// control log; `ahead` is told when another node has read further.
#[allow(clippy::too_many_arguments)]
pub fn start(
    kernel: &Kernel,
    identity: Identity,
    config: MembershipConfig,
    transport: Arc<dyn PeerTransport>,
    dispatch: &PeerDispatch,
    log_position: watch::Receiver<u64>,
    ahead: Address<PeerAhead>,
    random: ChaCha8Rng,
) -> MembershipHandle {
    let me = MemberRecord {
        name: identity.name,
        zone: identity.zone,
        address: identity.address,
        incarnation: identity.incarnation,
        status: MemberStatus::Alive,
    };
    let (address, inbox) = mailbox(MAILBOX_CAPACITY);
    let (view, receiver) = watch::channel(Arc::new(View::alone(me.clone())));
    let (contact, last_contact) = watch::channel(Instant::now());
    dispatch.register(
        PEER_SERVICE,
        Arc::new(Handler {
            address: address.clone(),
        }),
    );
    let parts = Arc::new(Parts {
        config,
        kernel: kernel.clone(),
        transport,
        address: address.clone(),
        view,
        contact,
        log_position,
        ahead,
    });
    kernel.supervise(Stage::Control, PEER_SERVICE, move || {
        let service = Service::new(Arc::clone(&parts), me.clone(), random.clone());
        service.run(inbox.clone())
    });
    MembershipHandle {
        address,
        view: receiver,
        contact: last_contact,
    }
}

struct Service {
    parts: Arc<Parts>,
    table: Table,
    random: ChaCha8Rng,
    probe_order: Vec<NodeName>,
    mismatches: u32,
    last_tick: Instant,
}

impl Service {
    fn new(parts: Arc<Parts>, me: MemberRecord, random: ChaCha8Rng) -> Self {
        let now = Instant::now();
        Self {
            parts,
            table: Table::new(me, now),
            random,
            probe_order: Vec::new(),
            mismatches: 0,
            last_tick: now,
        }
    }

    async fn run(mut self, inbox: Inbox<Message>) {
        let stop = self.parts.kernel.stop_signal(Stage::Control);
        let mut ticks = tokio::time::interval(self.parts.config.probe_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.raised() => return,
                message = inbox.receive() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Call(request, reply) => self.answer(request, reply),
            Message::Answered(exchange) => {
                self.parts.contact.send_replace(Instant::now());
                self.absorb(&exchange);
            }
            Message::Unanswered(name, incarnation) => self.note_silence(&name, incarnation),
            Message::Compared(address, records) => self.finish_repair(address, &records),
            Message::Leave(reply) => {
                self.table.leave(Instant::now());
                self.publish();
                self.probe_whole_zone();
                let _ = reply.send(());
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let frozen = now.duration_since(self.last_tick)
            > self.parts.config.probe_interval * FROZEN_INTERVALS;
        self.last_tick = now;
        let config = self.parts.config.clone();
        if !frozen
            && self
                .table
                .expire(config.suspicion_time, config.forget_after, now)
        {
            self.publish();
        }
        let view = self.parts.view.borrow().clone();
        self.contact_unknown_seed(&view);
        if let Some(target) = self.next_probe(&view) {
            self.probe(&target);
        }
        if view.is_relay(config.relays_per_zone) {
            self.contact_other_zone(&view);
        }
        if self.parts.contact.borrow().elapsed() > config.contact_alarm {
            self.contact_anybody(&view);
        }
    }

    /// Tries several members of any zone: a node that nobody answers must soon
    /// stop acting on what it knows.
    fn contact_anybody(&mut self, view: &View) {
        let members = view.members.values();
        let others: Vec<&MemberRecord> = members.filter(|m| m.name != view.me.name).collect();
        let count = self.parts.config.alarm_contacts;
        let chosen: Vec<MemberRecord> = others
            .choose_multiple(&mut self.random, count)
            .map(|member| (*member).clone())
            .collect();
        for member in &chosen {
            self.exchange_with(member);
        }
    }

    /// Compares tables with a seed that is not a member yet. Nodes that start
    /// at the same time may each meet only some of the others; as long as one
    /// seed is unknown, there may be an island that this node is not part of.
    fn contact_unknown_seed(&mut self, view: &View) {
        let known = |seed: &SocketAddr| {
            let mut members = view.members.values();
            members.any(|member| member.address == *seed)
        };
        let seeds = self.parts.config.seeds.iter().copied();
        let unknown: Vec<SocketAddr> = seeds.filter(|seed| !known(seed)).collect();
        if let Some(seed) = unknown.choose(&mut self.random) {
            self.repair_with(*seed);
        }
    }

    /// The next member of this zone in a shuffled round, so that each is probed
    /// within as many intervals as the zone has members.
    fn next_probe(&mut self, view: &View) -> Option<MemberRecord> {
        if self.probe_order.is_empty() {
            let members = view.reachable_in(&view.me.zone);
            let others = members.filter(|member| member.name != view.me.name);
            self.probe_order = others.map(|member| member.name.clone()).collect();
            self.probe_order.shuffle(&mut self.random);
        }
        while let Some(name) = self.probe_order.pop() {
            let member = view.members.get(&name);
            if let Some(member) = member.filter(|member| member.is_reachable()) {
                return Some(member.clone());
            }
        }
        None
    }

    /// Exchanges changes with a relay of another zone; once in a while with a
    /// dead member, so that both sides of a healed partition meet again.
    fn contact_other_zone(&mut self, view: &View) {
        let mut zones: Vec<ZoneName> = view.members.values().map(|m| m.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| zone != &view.me.zone);
        let Some(zone) = zones.choose(&mut self.random) else {
            return;
        };
        let relays = view.relays(zone, self.parts.config.relays_per_zone);
        let target = match relays.choose(&mut self.random) {
            Some(relay) => Some((*relay).clone()),
            None => {
                let members = view.members.values().filter(|m| &m.zone == zone);
                let all: Vec<&MemberRecord> = members.collect();
                all.choose(&mut self.random).map(|member| (*member).clone())
            }
        };
        if let Some(target) = target {
            self.exchange_with(&target);
        }
        let dead = view.members.values();
        let dead: Vec<&MemberRecord> = dead.filter(|member| !member.is_reachable()).collect();
        if let Some(member) = dead.choose(&mut self.random) {
            self.exchange_with(&(*member).clone());
        }
    }

    fn exchange(&mut self) -> Exchange {
        Exchange {
            sender: self.table.me().clone(),
            updates: self
                .table
                .take_updates(self.parts.config.updates_per_message),
            table_hash: self.table.hash(),
            log_position: *self.parts.log_position.borrow(),
        }
    }

    fn probe(&mut self, target: &MemberRecord) {
        let parts = Arc::clone(&self.parts);
        let exchange = self.exchange();
        let helpers = self.helpers(target);
        let target = target.clone();
        self.parts.kernel.spawn(Stage::Control, async move {
            let message = match ping(&parts, target.address, exchange).await {
                Some(exchange) => Message::Answered(exchange),
                None if reached_through(&parts, &helpers, target.address).await => return,
                None => Message::Unanswered(target.name, target.incarnation),
            };
            let _ = parts.address.send(message).await;
        });
    }

    fn exchange_with(&mut self, target: &MemberRecord) {
        let parts = Arc::clone(&self.parts);
        let exchange = self.exchange();
        let address = target.address;
        self.parts.kernel.spawn(Stage::Control, async move {
            if let Some(exchange) = ping(&parts, address, exchange).await {
                let _ = parts.address.send(Message::Answered(exchange)).await;
            }
        });
    }

    fn probe_whole_zone(&mut self) {
        let view = self.parts.view.borrow().clone();
        for member in view.reachable_in(&view.me.zone) {
            if member.name != view.me.name {
                self.exchange_with(member);
            }
        }
    }

    fn helpers(&mut self, target: &MemberRecord) -> Vec<SocketAddr> {
        let view = self.parts.view.borrow().clone();
        let others: Vec<SocketAddr> = view
            .reachable_in(&view.me.zone)
            .filter(|member| member.name != target.name && member.name != view.me.name)
            .map(|member| member.address)
            .collect();
        let count = self.parts.config.indirect_probes;
        others
            .choose_multiple(&mut self.random, count)
            .copied()
            .collect()
    }

    fn answer(&mut self, request: Request, reply: oneshot::Sender<Answer>) {
        match request {
            Request::Ping(exchange) => {
                self.absorb(&exchange);
                let _ = reply.send(Answer::Pong(self.exchange()));
            }
            Request::PingThrough(target) => {
                let parts = Arc::clone(&self.parts);
                let exchange = self.exchange();
                self.parts.kernel.spawn(Stage::Control, async move {
                    let reached = ping(&parts, target, exchange).await.is_some();
                    let _ = reply.send(Answer::Reached(reached));
                });
            }
            Request::Compare(hashes) => {
                let _ = reply.send(Answer::Records(self.table.differing(&hashes)));
            }
            Request::Push(records) => {
                self.merge_all(&records);
                let _ = reply.send(Answer::Taken);
            }
        }
    }

    fn absorb(&mut self, exchange: &Exchange) {
        let now = Instant::now();
        let mut changed = self.table.merge(&exchange.sender, now);
        for update in &exchange.updates {
            changed |= self.table.merge(update, now);
        }
        if changed {
            self.publish();
        }
        self.compare_tables(exchange);
        if exchange.log_position > *self.parts.log_position.borrow() {
            let _ = self.parts.ahead.try_send(PeerAhead {
                address: exchange.sender.address,
                log_position: exchange.log_position,
            });
        }
    }

    fn compare_tables(&mut self, exchange: &Exchange) {
        if exchange.table_hash == self.table.hash() {
            self.mismatches = 0;
            return;
        }
        self.mismatches += 1;
        if self.mismatches >= self.parts.config.mismatches_before_repair {
            self.mismatches = 0;
            self.repair_with(exchange.sender.address);
        }
    }

    fn repair_with(&mut self, address: SocketAddr) {
        let parts = Arc::clone(&self.parts);
        let request = Request::Compare(self.table.zone_hashes());
        self.parts.kernel.spawn(Stage::Control, async move {
            let answer = send(&parts, address, &request, REPAIR_TIME_LIMIT).await;
            if let Some(Answer::Records(records)) = answer {
                let _ = parts
                    .address
                    .send(Message::Compared(address, records))
                    .await;
            }
        });
    }

    /// Takes in the other side's records and sends back what it lacks.
    fn finish_repair(&mut self, address: SocketAddr, records: &[MemberRecord]) {
        self.merge_all(records);
        let view = self.table.view();
        let zones: Vec<&ZoneName> = records.iter().map(|record| &record.zone).collect();
        let lacking: Vec<MemberRecord> = view
            .members
            .values()
            .filter(|mine| {
                zones.is_empty() || zones.contains(&&mine.zone) || mine.name == view.me.name
            })
            .filter(|mine| !records.contains(mine))
            .cloned()
            .collect();
        if lacking.is_empty() {
            return;
        }
        let parts = Arc::clone(&self.parts);
        self.parts.kernel.spawn(Stage::Control, async move {
            let request = Request::Push(lacking);
            send(&parts, address, &request, REPAIR_TIME_LIMIT).await;
        });
    }

    fn note_silence(&mut self, name: &NodeName, incarnation: u64) {
        let view = self.parts.view.borrow().clone();
        let same_life = view.members.get(name);
        let same_life = same_life.is_some_and(|member| member.incarnation == incarnation);
        if same_life && self.table.suspect(name, Instant::now()) {
            tracing::info!(member = %name, "member does not answer and is suspected");
            self.publish();
        }
    }

    fn merge_all(&mut self, records: &[MemberRecord]) {
        let now = Instant::now();
        let mut changed = false;
        for record in records {
            changed |= self.table.merge(record, now);
        }
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        self.parts.view.send_replace(Arc::new(self.table.view()));
    }
}

async fn send(
    parts: &Parts,
    to: SocketAddr,
    request: &Request,
    time_limit: Duration,
) -> Option<Answer> {
    let transport = parts.transport.as_ref();
    call(transport, to, PEER_SERVICE, request, time_limit)
        .await
        .ok()
}

async fn ping(parts: &Parts, to: SocketAddr, exchange: Exchange) -> Option<Exchange> {
    let request = Request::Ping(exchange);
    match send(parts, to, &request, parts.config.probe_time_limit).await {
        Some(Answer::Pong(exchange)) => Some(exchange),
        _ => None,
    }
}

async fn reached_through(parts: &Parts, helpers: &[SocketAddr], target: SocketAddr) -> bool {
    let time_limit = parts.config.probe_time_limit * 2;
    for helper in helpers {
        let request = Request::PingThrough(target);
        let answer = send(parts, *helper, &request, time_limit).await;
        if matches!(answer, Some(Answer::Reached(true))) {
            return true;
        }
    }
    false
}

// Gossip between routers in UDP datagrams: liveness, versions of the copied tables, and load reports. In a large fleet
// representatives exchange sums of their data centres. A lost datagram is superseded by the next one.

import { amount, decodeForeign, tokenCount, vmAddress, wholeNumber } from '@catkinwheel/protocol';
import { createSocket, type Socket } from 'node:dgram';
import {
  probesSilentPeer,
  acceptsReport,
  spreadsChange,
  includesIdlePeers,
  gossipTopologyOf,
  gossipInterval,
  type Dispatcher,
  type Load,
  type Member,
  type Members,
  type PlannedStops,
  type GossipTopology,
  type Report,
  type Reporter,
  type WorkTimer,
} from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Codec, array, boolean, nullable, optional, string, tuple, type GetType } from 'purify-ts';
import { decodeEvidence, encodeEvidence, evidenceCodec } from './crashEvidence.js';
import type { Source, StoreReplica, TableRevisions } from './storeReplica.js';
import type { Faults } from './faults.js';
import type { Log } from './log.js';

/** Server, prompt tokens still to prefill, requests, KV cache tokens. */
const loadCodec = tuple([string, amount, wholeNumber, amount]);

/**
 * Name, IP address, whether it is stopping, time since its last contact with the store (null if its calls fail) and since
 * the sender's last contact with it, capacity and used cores of its VM, whether it is idle. Times in ms.
 */
const memberCodec = tuple([
  string,
  vmAddress,
  boolean,
  nullable(amount),
  amount,
  amount,
  amount,
  boolean,
]);

const messageCodec = Codec.interface({
  router: string,
  ip: vmAddress,
  dataCentre: string,
  isLeaving: boolean,
  /** Cores of the VM, and cores that the router uses. */
  capacity: amount,
  used: amount,
  /** In the sum of a data centre: its other routers. Null in the message of a single router. */
  members: nullable(array(memberCodec)),
  /** Time in ms since the sender's last contact with the store; null while its calls fail. */
  storeAge: nullable(amount),
  /** Versions of the sender's copies of the tables. */
  operators: wholeNumber,
  servers: wholeNumber,
  /** Eras of these, in the same order; routers of earlier versions send none. */
  eras: optional(tuple([wholeNumber, wholeNumber])),
  /** Requests in flight at each server. */
  loads: array(loadCodec),
  /** Tokens that each team received recently. */
  teams: array(tuple([string, amount])),
  /** Requests queued for each server. */
  waiting: array(loadCodec),
  /** By server: the fewest tokens received by any team with requests queued for it. */
  least: array(tuple([string, amount])),
  /** Server, key and tokens of prompt parts that the server has cached since the last message. */
  parts: array(tuple([string, string, tokenCount])),
  /** Servers that have said that they are leaving, with their start times; routers of earlier versions send none. */
  leaving: optional(array(tuple([string, nullable(wholeNumber)]))),
  /** Missing if there is nothing to tell. */
  evidence: optional(evidenceCodec),
});

type Message = GetType<typeof messageCodec>;

/** Shortest time between two datagrams to a router about changes of the tables; what changes meanwhile is told together. */
const minChangeInterval: Milliseconds = 50;

/** Sends and receives the gossip of one router. */
export class Gossip {
  readonly #socket: Socket;
  /** Last time that silent routers were sent to; -Infinity if all of them are due in the next round. */
  #lastSilentProbe: Milliseconds = -Infinity;
  #topology: GossipTopology;
  #isIdle = true;
  /** Whether the current round includes idle routers. */
  #includesIdle = true;
  #lastIdleRound: Milliseconds = -Infinity;
  #isChangePending = false;
  #isClosed = false;
  #lastChange: Milliseconds = -Infinity;

  private constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly work: WorkTimer;
      readonly router: string;
      readonly dataCentre: string;
      readonly ip: string;
      readonly capacity: number;
      readonly port: number;
      readonly members: Members;
      readonly dispatcher: Dispatcher;
      readonly storeReplica: StoreReplica;
      readonly log: Log;
      readonly faults: Faults;
      readonly stops: PlannedStops;
      readonly storeAge: () => Milliseconds;
      /** Cores in use. */
      readonly used: () => number;
      /** Called when the router at `ip` has newer tables than this one. */
      readonly onNewerTables: (ip: string, revisions: TableRevisions) => void;
    },
  ) {
    this.#socket = createSocket('udp4');
    this.#topology = this.#findTopology();
  }

  static create(options: Gossip['options']): Gossip {
    return new Gossip(options);
  }

  /** Opens the socket. Rejects if the port is in use. */
  async listen(): Promise<void> {
    const { ip, port, log } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(port, ip, () => {
        this.#socket.off('error', reject);
        resolve();
      });
    });
    this.#socket.on('error', (error) => {
      log.write('datagram failed', { detail: error.message });
    });
    this.#socket.on('message', (bytes, from) => {
      this.options.faults.contain('datagram', () => {
        this.options.work.run('datagrams', () => {
          this.#receive(bytes, from.address);
        });
      });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const interval = gossipInterval(this.#topology, this.#isIdle);
      this.#includesIdle = includesIdlePeers(clock.now() - this.#lastIdleRound, interval);
      if (this.#includesIdle) this.#lastIdleRound = clock.now();
      this.send(false);
      await clock.sleep(interval, signal);
    }
    this.#isClosed = true;
    this.#socket.close();
  }

  /** Makes this router known to all registered routers, including silent ones. */
  announce(): void {
    this.#lastSilentProbe = -Infinity;
    this.send(true);
  }

  /** Tells other routers of a change of the tables, if they may not hear of it otherwise. */
  tellOfChange(source: Source): void {
    if (this.#isChangePending || !spreadsChange(this.#topology, source === 'store')) return;
    this.#isChangePending = true;
    const { clock, faults } = this.options;
    const wait = Math.max(0, this.#lastChange + minChangeInterval - clock.now());
    const told = (wait > 0 ? clock.sleep(wait) : Promise.resolve()).then(() => {
      this.#isChangePending = false;
      this.#lastChange = clock.now();
      if (!this.#isClosed) this.send(true);
    });
    faults.watch('datagram', told);
  }

  /**
   * Sends the state of this router to its direct peers, and the sum of its data centre if it is the representative. Unless
   * `isUrgent`, idle routers of a large fleet are sent to at a lower rate. Never throws.
   */
  send(isUrgent: boolean): void {
    this.options.faults.contain('datagram', () => {
      this.options.work.run('datagrams', () => {
        this.#send(isUrgent);
      });
    });
  }

  #send(isUrgent: boolean): void {
    const { clock, members, dispatcher, dataCentre } = this.options;
    this.#topology = this.#findTopology();
    const { directPeers, isHierarchical, representatives } = this.#topology;
    const report = dispatcher.report();
    this.#isIdle = report.loads.size === 0 && report.waiting.size === 0;
    const own = encode(this.#message(report, null));
    for (const peer of directPeers) if (isUrgent || this.#isDue(peer)) this.#sendTo(peer.ip, own);
    if (isHierarchical && representatives !== undefined) {
      const sum = encode(this.#message(dispatcher.summary(), this.#encodeMembers(directPeers)));
      for (const { ip } of representatives) this.#sendTo(ip, sum);
    }
    const now = clock.now();
    if (now - this.#lastSilentProbe < this.#topology.silentProbeInterval) return;
    const isFirst = this.#lastSilentProbe === -Infinity;
    this.#lastSilentProbe = now;
    for (const silent of members.silent()) {
      const isOwnDataCentre = (silent.dataCentre ?? dataCentre) === dataCentre;
      if (isFirst || probesSilentPeer(this.#topology, isOwnDataCentre))
        this.#sendTo(silent.ip, own);
    }
  }

  /** Whether the router is due in this round: idle ones of a large fleet are sent to less often. */
  #isDue({ isIdle }: Member): boolean {
    if (!this.#topology.isHierarchical || !isIdle) return true;
    return this.#includesIdle;
  }

  #sendTo(ip: string, bytes: Buffer): void {
    this.#socket.send(bytes, this.options.port, ip, (error) => {
      if (error !== null) this.options.log.write('datagram failed', { detail: error.message });
    });
  }

  #findTopology(): GossipTopology {
    const { members, router, dataCentre, stops, capacity } = this.options;
    const self = { name: router, dataCentre, isLeaving: stops.isStopping, capacity };
    return gossipTopologyOf(self, members.alive(), members.names().length);
  }

  /** The other routers of this data centre, as sent with its sum. */
  #encodeMembers(directPeers: readonly Member[]): Message['members'] {
    return directPeers.map(({ name, ip, isLeaving, storeAge, capacity, used, isIdle }) => [
      name,
      ip,
      isLeaving,
      encodeAge(storeAge),
      Math.round(this.options.members.heartbeatAge(name)),
      capacity,
      used,
      isIdle,
    ]);
  }

  #message(report: Report, otherMembers: Message['members']): Message {
    const { router, ip, dataCentre, capacity, used } = this.options;
    const { storeReplica, stops, storeAge } = this.options;
    const operators = storeReplica.revision('operators');
    const servers = storeReplica.revision('servers');
    return {
      router,
      ip,
      dataCentre,
      isLeaving: stops.isStopping,
      capacity,
      used: Number(used().toFixed(3)),
      members: otherMembers,
      storeAge: encodeAge(storeAge()),
      operators: operators.version,
      servers: servers.version,
      eras: [operators.era, servers.era],
      loads: encodeLoads(report.loads),
      teams: [...report.teams].map(([team, tokens]) => [team, Math.round(tokens)]),
      waiting: encodeLoads(report.waiting),
      least: [...report.least].map(([server, tokens]) => [server, Math.round(tokens)]),
      parts: report.parts.map(({ server, part, tokens }) => [server, part, tokens]),
      leaving: this.options.dispatcher.announcedLeaving().map(({ id, born }) => [id, born ?? null]),
      evidence: this.#encodeEvidence(otherMembers === null ? 'own' : 'all'),
    };
  }

  #encodeEvidence(scope: 'own' | 'all'): Message['evidence'] {
    const { dispatcher, clock } = this.options;
    return encodeEvidence(dispatcher.crashEvidence(scope), clock.now());
  }

  #receive(bytes: Buffer, from: string): void {
    const { log } = this.options;
    let json: unknown;
    try {
      json = JSON.parse(bytes.toString('utf8'));
    } catch (error) {
      log.write('datagram refused', { ip: from, detail: String(error) });
      return;
    }
    decodeForeign(messageCodec, json).match(
      (message) => {
        if (message.router !== this.options.router) this.#apply(message, bytes, from);
      },
      (detail) => {
        log.write('datagram refused', { ip: from, detail });
      },
    );
  }

  #apply(message: Message, bytes: Buffer, from: string): void {
    const { dispatcher, storeReplica, onNewerTables, dataCentre, log } = this.options;
    const { router: name, members: otherMembers, ip } = message;
    const isIdle = message.loads.length === 0 && message.waiting.length === 0;
    this.#recordHeartbeat({ ...message, name, isIdle, storeAge: message.storeAge ?? Infinity }, 0);
    for (const [
      peer,
      peerIp,
      isLeaving,
      storeAge,
      age,
      capacity,
      used,
      isPeerIdle,
    ] of otherMembers ?? []) {
      const member = { name: peer, ip: peerIp, dataCentre: message.dataCentre, isLeaving };
      const state = { capacity, used, isIdle: isPeerIdle, storeAge: storeAge ?? Infinity };
      this.#recordHeartbeat({ ...member, ...state }, age);
    }
    for (const [server, born] of message.leaving ?? []) {
      // One that is not registered here yet is named again in the next message.
      const instance = dispatcher.servers.find(server, born ?? undefined);
      if (instance !== undefined && dispatcher.recordLeaving(instance))
        log.write('server leaving', { server, source: 'peer', peer: name });
    }
    if (message.evidence !== undefined)
      dispatcher.hearCrashEvidence(decodeEvidence(message.evidence, this.options.clock.now()));
    const reporter: Reporter =
      otherMembers === null
        ? { kind: 'router', name }
        : { kind: 'dataCentre', name: message.dataCentre };
    const isOwnDataCentre = message.dataCentre === dataCentre;
    if (acceptsReport(this.#topology, reporter.kind, isOwnDataCentre)) {
      dispatcher.hear(reporter, reportOf(message));
      const { representatives, directPeers } = this.#topology;
      const isDirect = from === ip;
      if (reporter.kind === 'dataCentre' && isDirect && representatives !== undefined)
        for (const peer of directPeers) if (this.#isDue(peer)) this.#sendTo(peer.ip, bytes);
    }
    const revisions = this.#revisionsOf(message);
    if (storeReplica.isBehind(revisions)) onNewerTables(from, revisions);
  }

  /** A router that names no eras is assumed to be in those of this one. */
  #revisionsOf({ operators, servers, eras }: Message): TableRevisions {
    const { storeReplica } = this.options;
    const [operatorsEra, serversEra] = eras ?? [
      storeReplica.revision('operators').era,
      storeReplica.revision('servers').era,
    ];
    return {
      operators: { era: operatorsEra, version: operators },
      servers: { era: serversEra, version: servers },
    };
  }

  /** Records that this router or another one received a heartbeat of the member `age` ago. */
  #recordHeartbeat(member: Member, age: Milliseconds): void {
    const { members, storeReplica, stops, log } = this.options;
    const { name, ip, storeAge, isLeaving } = member;
    // A datagram may come after a later one.
    if (members.heartbeatAge(name) > age) stops.recordHeartbeat(ip, isLeaving, age);
    if (members.recordHeartbeat(member, age)) log.write('router heard', { peer: name, ip });
    if (Number.isFinite(storeAge)) storeReplica.recordContact(storeAge + age);
  }
}

function encode(message: Message): Buffer {
  return Buffer.from(JSON.stringify(message));
}

function encodeAge(age: Milliseconds): number | null {
  return Number.isFinite(age) ? Math.round(age) : null;
}

function reportOf(message: Message): Report {
  return {
    loads: decodeLoads(message.loads),
    teams: new Map(message.teams),
    waiting: decodeLoads(message.waiting),
    least: new Map(message.least),
    parts: message.parts.map(([server, part, tokens]) => ({ server, part, tokens })),
  };
}

function encodeLoads(loads: ReadonlyMap<string, Load>): Message['loads'] {
  return [...loads].map(([id, { unread, requests, memory }]) => [
    id,
    Math.round(unread),
    requests,
    Math.round(memory),
  ]);
}

function decodeLoads(loads: Message['loads']): ReadonlyMap<string, Load> {
  return new Map(
    loads.map(([id, unread, requests, memory]): [string, Load] => [
      id,
      { unread, requests, memory },
    ]),
  );
}

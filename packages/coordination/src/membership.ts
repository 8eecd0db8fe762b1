// Every decision that names another router starts from what this router has heard of it. Heartbeats
// say who is alive; session rows, seeds and the members named by others only say whom to talk to.

import type { LevelFloor, Heartbeat, KeeperState } from '@catkinwheel/protocol';
import type {
  Clock,
  Cost,
  Milliseconds,
  Revision,
  Router,
  RouterName,
  ServiceName,
} from '@catkinwheel/state';
import { KeeperIndex } from './keeperIndex.js';
import { Member, type MemberPhase } from './member.js';
import type {
  EventLog,
  ServerKeeper,
  MemberView,
  Metrics,
  Outbox,
  PeerLinks,
  Table,
} from './ports.js';
import { unreleasedRouter, sessionPrefix } from './leaseRows.js';
import { PeerSessions } from './peerSessions.js';

/** Period of heartbeats to every known router. */
export const heartbeatPeriod: Milliseconds = 500;
/** Members are named in every n-th heartbeat and in each one after a change, to save traffic. */
const membersEvery = 10;
/** Period of reading the session rows: rows are renewed every second and valid for 3 s. */
const sessionPeriod: Milliseconds = 1000;
/** A dead router without a session row is forgotten after this time. */
const forgetAfter: Milliseconds = 60_000;

export interface MembershipOptions {
  readonly self: Router;
  readonly clock: Clock;
  readonly table: Table;
  readonly outbox: Outbox;
  /** Opens links to the routers that are known. */
  readonly links: PeerLinks;
  /** Servers that this router keeps. */
  readonly keepers: () => readonly KeeperState[];
  /** Lowest levels at the homes on this router. */
  readonly floors: () => readonly LevelFloor[];
  /** Revision of the catalogue in force here. */
  readonly revision: () => Revision;
  /** Whether this router reaches the platform. */
  readonly platform: () => boolean;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** A known router, for operators and for the catalogue. */
export interface MemberState {
  readonly router: Router;
  readonly phase: MemberPhase;
  readonly leaving: boolean;
  readonly platform: boolean;
  /** Revision in the last heartbeat; undefined if there was none. */
  readonly revision: Revision | undefined;
  /** Whether it may still take work: its session is valid or it was heard within the dead time. */
  readonly mayTakeWork: boolean;
}

/** What this router knows about the fleet. Starts with itself alone. */
export class Membership implements MemberView {
  readonly self: Router;
  readonly #options: MembershipOptions;
  readonly #members = new Map<RouterName, Member>();
  readonly #sessions: PeerSessions;
  readonly #keepers = KeeperIndex.create();
  #alive: { readonly routers: readonly Router[]; readonly until: Milliseconds } | undefined;
  #leaving = false;
  #beats = 0;
  #lastMembers = '';

  private constructor(options: MembershipOptions) {
    this.self = options.self;
    this.#options = options;
    this.#sessions = PeerSessions.create(options.clock);
  }

  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  alive(): readonly Router[] {
    const now = this.#options.clock.now();
    if (this.#alive === undefined || now >= this.#alive.until) {
      const members = [...this.#members.values()].filter((member) => member.phase(now) === 'alive');
      this.#alive = {
        routers: [this.self, ...members.map(({ router }) => router)].sort(byName),
        until: Math.min(...members.map((member) => member.aliveUntil)),
      };
    }
    return this.#alive.routers;
  }

  isLeaving(name: RouterName): boolean {
    if (name === this.self.name) return this.#leaving;
    return this.#members.get(name)?.heartbeat?.leaving ?? false;
  }

  reachesPlatform(name: RouterName): boolean {
    if (name === this.self.name) return this.#options.platform();
    return this.#members.get(name)?.heartbeat?.platform ?? false;
  }

  keepers(service: ServiceName): readonly ServerKeeper[] {
    return this.#keepers.of(service, this.self.name, this.#options.keepers());
  }

  minLevel(service: ServiceName): Cost | undefined {
    const now = this.#options.clock.now();
    let lowest: Cost | undefined;
    const consider = (floors: readonly LevelFloor[]): void => {
      for (const floor of floors) {
        if (floor.service === service && (lowest === undefined || floor.level < lowest)) {
          lowest = floor.level;
        }
      }
    };
    consider(this.#options.floors());
    for (const member of this.#members.values()) {
      if (member.phase(now) !== 'dead') consider(member.heartbeat?.floors ?? []);
    }
    return lowest;
  }

  /** Every other router that is known, in order of name. */
  memberStates(): readonly MemberState[] {
    const now = this.#options.clock.now();
    return [...this.#members.values()]
      .map((member) => {
        const phase = member.phase(now);
        return {
          router: member.router,
          phase,
          leaving: member.heartbeat?.leaving ?? false,
          platform: member.heartbeat?.platform ?? false,
          revision: member.heartbeat?.revision,
          mayTakeWork: phase !== 'dead' || this.#sessions.isValid(member.router),
        };
      })
      .sort((a, b) => byName(a.router, b.router));
  }

  /** Takes in a heartbeat. One that does not come from the router it describes is ignored. */
  receive(from: RouterName, heartbeat: Heartbeat): void {
    const { router } = heartbeat;
    if (router.name !== from || from === this.self.name) {
      this.#options.metrics.count('membership.ignored', { reason: 'sender' });
      return;
    }
    const known = this.#members.get(from);
    if (known?.isReplaced(router.incarnation) === true) {
      this.#options.metrics.count('membership.ignored', { reason: 'replaced' });
      return;
    }
    const now = this.#options.clock.now();
    const member = known ?? this.#add(router);
    const isNew = member.hear(heartbeat, now);
    this.#keepers.update(from, heartbeat.keepers, now);
    this.#alive = undefined;
    for (const other of heartbeat.members) this.#suggest(other);
    if (!isNew) return;
    this.#options.eventLog.record('router joined', {
      router: from,
      incarnation: router.incarnation,
    });
    this.#connect();
    // The newcomer learns of this router now and not at the next period.
    this.#options.outbox.send(from, this.#heartbeat(true));
  }

  /** Learns of a router that exists; whether it is alive only its heartbeats say. */
  addDiscovered(router: Router): void {
    if (this.#suggest(router)) this.#connect();
  }

  /** Tells the others from the next heartbeat on, sent at once, that this router is leaving. */
  setLeaving(): void {
    this.#leaving = true;
    this.#broadcast();
  }

  /** Sends heartbeats, reads session rows and notes changes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#beat(signal), this.#follow(signal)]);
  }

  async #beat(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(heartbeatPeriod, signal)) {
      this.#note(now);
      this.#broadcast();
    }
  }

  /** Follows the session rows. While the platform is out of reach the last ones stay in force. */
  async #follow(signal: AbortSignal): Promise<void> {
    const { clock, table } = this.#options;
    while (!signal.aborted) {
      const rows = await table.rows(sessionPrefix);
      if (rows.isOk()) {
        this.#sessions.update(
          rows.value.flatMap((row) => {
            const router = unreleasedRouter(row);
            return router === undefined ? [] : [{ router, version: row.version }];
          }),
        );
        for (const router of this.#sessions.routers()) this.#suggest(router);
        this.#connect();
      }
      await clock.sleep(sessionPeriod, signal);
    }
  }

  /** Notes changes of state and forgets routers that are gone. */
  #note(now: Milliseconds): void {
    const { metrics, eventLog: journal } = this.#options;
    for (const [name, member] of this.#members) {
      const phase = member.noted(now);
      if (phase !== undefined) {
        journal.record('router state', { router: name, state: phase });
        metrics.count('membership.changes', { state: phase });
      }
      if (member.phase(now) === 'dead') this.#keepers.remove(name);
      const isGone = now - member.lastSign > forgetAfter && this.#sessions.isConfirmedExpired(name);
      if (isGone) this.#members.delete(name);
    }
    metrics.gauge('membership.alive', this.alive().length);
  }

  #broadcast(): void {
    const named = this.#recent();
    const text = named.map(({ name, incarnation }) => `${name} ${incarnation}`).join(',');
    const withMembers = this.#beats % membersEvery === 0 || text !== this.#lastMembers;
    this.#beats += 1;
    this.#lastMembers = text;
    const heartbeat = this.#heartbeat(withMembers);
    for (const name of this.#members.keys()) this.#options.outbox.send(name, heartbeat);
  }

  #heartbeat(withMembers: boolean): Heartbeat {
    const { keepers, floors, revision, platform } = this.#options;
    return {
      kind: 'heartbeat',
      router: this.self,
      revision: revision(),
      platform: platform(),
      leaving: this.#leaving,
      keepers: keepers(),
      floors: floors(),
      members: withMembers ? this.#recent() : [],
    };
  }

  /** Routers heard within the dead time. */
  #recent(): readonly Router[] {
    const now = this.#options.clock.now();
    return [...this.#members.values()]
      .filter((member) => member.phase(now) !== 'dead')
      .map(({ router }) => router)
      .sort(byName);
  }

  /** Adds a router or, if the known incarnation is dead, its successor. True if something changed. */
  #suggest(router: Router): boolean {
    if (router.name === this.self.name) return false;
    const known = this.#members.get(router.name);
    if (known === undefined) {
      this.#add(router);
      return true;
    }
    return known.suggest(router, this.#options.clock.now());
  }

  #add(router: Router): Member {
    const member = Member.create(router, this.#options.clock.now());
    this.#members.set(router.name, member);
    return member;
  }

  #connect(): void {
    this.#options.links.connect([...this.#members.values()].map(({ router }) => router));
  }
}

function byName(a: Router, b: Router): number {
  return a.name < b.name ? -1 : Number(a.name > b.name);
}

// Tracks the other routers of the fleet. Only heartbeats show that a router is alive; session rows, seeds
// and the member lists of other routers only show where to send heartbeats.

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
import { routerOfOpenSession, sessionPrefix } from './leaseRows.js';
import { PeerSessions } from './peerSessions.js';

/** Interval of heartbeats to every known router. */
export const heartbeatInterval: Milliseconds = 500;
/** Every n-th heartbeat and each one after a change contains the member list, to save traffic. */
const memberListInterval = 10;
/** Interval of reading the session rows, which are renewed every second and valid for 3 s. */
const sessionReadInterval: Milliseconds = 1000;
/** A dead router without a session row is removed after this time. */
const removalDelay: Milliseconds = 60_000;

export interface MembershipOptions {
  readonly self: Router;
  readonly clock: Clock;
  readonly table: Table;
  readonly outbox: Outbox;
  /** Opens links to the routers that are known. */
  readonly links: PeerLinks;
  /** States of the servers that this router keeps. */
  readonly keepers: () => readonly KeeperState[];
  /** Lowest level per service in the ledgers on this router. */
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
  /** Whether it may still take work: its session is valid or it sent a heartbeat within the dead time. */
  readonly mayTakeWork: boolean;
}

/** The routers of the fleet as this router knows them; initially only itself. */
export class Membership implements MemberView {
  readonly self: Router;
  readonly #options: MembershipOptions;
  readonly #members = new Map<RouterName, Member>();
  readonly #sessions: PeerSessions;
  readonly #keepers = KeeperIndex.create();
  #alive: { readonly routers: readonly Router[]; readonly until: Milliseconds } | undefined;
  #leaving = false;
  #heartbeatCount = 0;
  #lastMemberList = '';

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
    return this.#keepers.keepersOf(service, this.self.name, this.#options.keepers());
  }

  minLevel(service: ServiceName): Cost | undefined {
    const now = this.#options.clock.now();
    let lowest: Cost | undefined;
    const includeFloors = (floors: readonly LevelFloor[]): void => {
      for (const floor of floors) {
        if (floor.service === service && (lowest === undefined || floor.level < lowest)) {
          lowest = floor.level;
        }
      }
    };
    includeFloors(this.#options.floors());
    for (const member of this.#members.values()) {
      if (member.phase(now) !== 'dead') includeFloors(member.heartbeat?.floors ?? []);
    }
    return lowest;
  }

  /** State of every other known router, in order of name. */
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

  /** Handles a heartbeat. It is ignored if `from` is not the router that it describes. */
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
    const isNew = member.recordHeartbeat(heartbeat, now);
    this.#keepers.update(from, heartbeat.keepers, now);
    this.#alive = undefined;
    for (const other of heartbeat.members) this.#addOrUpdate(other);
    if (!isNew) return;
    this.#options.eventLog.record('router joined', {
      router: from,
      incarnation: router.incarnation,
    });
    this.#connect();
    // The new router gets a heartbeat now instead of at the next interval.
    this.#options.outbox.send(from, this.#heartbeat(true));
  }

  /** Adds a discovered router; it counts as alive only after a heartbeat. */
  addDiscovered(router: Router): void {
    if (this.#addOrUpdate(router)) this.#connect();
  }

  /** Announces in all further heartbeats that this router is leaving, and sends one at once. */
  setLeaving(): void {
    this.#leaving = true;
    this.#broadcast();
  }

  /** Sends heartbeats, reads session rows and logs changes of state until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#sendHeartbeats(signal), this.#readSessions(signal)]);
  }

  async #sendHeartbeats(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(heartbeatInterval, signal)) {
      this.#recordPhases(now);
      this.#broadcast();
    }
  }

  /** Reads the session rows periodically. While the platform is unreachable the last ones are used. */
  async #readSessions(signal: AbortSignal): Promise<void> {
    const { clock, table } = this.#options;
    while (!signal.aborted) {
      const rows = await table.rows(sessionPrefix);
      if (rows.isOk()) {
        this.#sessions.update(
          rows.value.flatMap((row) => {
            const router = routerOfOpenSession(row);
            return router === undefined ? [] : [{ router, version: row.version }];
          }),
        );
        for (const router of this.#sessions.routers()) this.#addOrUpdate(router);
        this.#connect();
      }
      await clock.sleep(sessionReadInterval, signal);
    }
  }

  /** Logs changes of state and removes routers that are gone. */
  #recordPhases(now: Milliseconds): void {
    const { metrics, eventLog } = this.#options;
    for (const [name, member] of this.#members) {
      const phase = member.phaseChange(now);
      if (phase !== undefined) {
        eventLog.record('router state', { router: name, state: phase });
        metrics.count('membership.changes', { state: phase });
      }
      if (member.phase(now) === 'dead') this.#keepers.remove(name);
      const isGone =
        now - member.lastSeen > removalDelay && this.#sessions.isConfirmedExpired(name);
      if (isGone) this.#members.delete(name);
    }
    metrics.gauge('membership.alive', this.alive().length);
  }

  #broadcast(): void {
    const listed = this.#membersNotDead();
    const text = listed.map(({ name, incarnation }) => `${name} ${incarnation}`).join(',');
    const withMembers =
      this.#heartbeatCount % memberListInterval === 0 || text !== this.#lastMemberList;
    this.#heartbeatCount += 1;
    this.#lastMemberList = text;
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
      members: withMembers ? this.#membersNotDead() : [],
    };
  }

  /** Routers with a heartbeat within the dead time. */
  #membersNotDead(): readonly Router[] {
    const now = this.#options.clock.now();
    return [...this.#members.values()]
      .filter((member) => member.phase(now) !== 'dead')
      .map(({ router }) => router)
      .sort(byName);
  }

  /** Adds a router, or a new incarnation of a dead one. True if something changed. */
  #addOrUpdate(router: Router): boolean {
    if (router.name === this.self.name) return false;
    const known = this.#members.get(router.name);
    if (known === undefined) {
      this.#add(router);
      return true;
    }
    return known.updateIdentity(router, this.#options.clock.now());
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

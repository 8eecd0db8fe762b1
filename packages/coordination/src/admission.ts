// The entry router's side of admission: requests wait here, demand goes to keepers, and grants come
// back to the head of the queue.

import type { Grant, LevelUpdate, Revoke, Takeover } from '@catkinwheel/protocol';
import {
  isDrained,
  type Clock,
  type Cost,
  type Failure,
  type Milliseconds,
  type Outcome,
  type Permit,
  type Release,
  type RouterName,
  type ServiceName,
  type TeamName,
} from '@catkinwheel/state';
import type { ResultAsync } from 'neverthrow';
import { Account } from './account.js';
import { WaitAlarms } from './alarm.js';
import { ServiceDemand } from './demand.js';
import { Estimates } from './estimate.js';
import { Holdings } from './holdings.js';
import { Intake, type RouterLimits } from './intake.js';
import { assertInvariant } from './invariant.js';
import { TeamLine, type LineOwner } from './line.js';
import type {
  CatalogueView,
  EventLog,
  MemberView,
  Metrics,
  Outbox,
  PermitSource,
  Random,
  PermitHandle,
  PermitRequest,
} from './ports.js';
import { PauseDetector } from './pauseDetector.js';
import { Reporter } from './reporter.js';
import { HeldTicket, type TicketOwner } from './permitHandle.js';

/** Precision of deadlines, of the widening of demand and of the expiry of permits. */
const tickPeriod: Milliseconds = 10;

/** Period of wait alarms and of forgetting what is no longer used. */
const reviewPeriod: Milliseconds = 100;

/** A line without work is forgotten after this time, when every home has forgotten its reports. */
const forgetLine: Milliseconds = 60_000;

/** First report sequences are drawn from this range to tell the runs of a router apart. */
const sequenceRange = 2 ** 40;

/** Messages that admission acts on. */
export type AdmissionMessage = Grant | Revoke | Takeover | LevelUpdate;

/** Work of one team for one service at this router. */
export interface TeamStatus {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly waiting: number;
  /** Bytes of the team's waiting requests for all services. */
  readonly bytes: number;
  readonly oldestWait: Milliseconds;
  readonly inFlight: number;
  /** Requests that the team may have in flight here. */
  readonly share: number;
  readonly level: Cost;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  readonly random: Random;
  readonly limits: RouterLimits;
}

/** Permits from the keepers of the fleet, fair among teams across it. */
export class Admission implements PermitSource {
  readonly #options: AdmissionOptions;
  readonly #intake: Intake;
  readonly #reporter: Reporter;
  readonly #holdings: Holdings;
  readonly #alarms: WaitAlarms;
  readonly #estimates = Estimates.create();
  readonly #pauses: PauseDetector;
  readonly #lines = new Map<ServiceName, Map<TeamName, TeamLine>>();
  readonly #demands = new Map<ServiceName, ServiceDemand>();
  readonly #releases = new Map<RouterName, Release[]>();
  readonly #lineOwner: LineOwner;
  readonly #ticketOwner: TicketOwner;
  #scheduled = false;
  #reviewed: Milliseconds = -Infinity;

  private constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#pauses = PauseDetector.create(options.clock);
    this.#intake = Intake.create(options);
    this.#reporter = Reporter.create(options);
    this.#holdings = Holdings.create(options.clock.now());
    this.#alarms = WaitAlarms.create(options);
    this.#lineOwner = {
      now: () => options.clock.now(),
      estimate: (work) => this.#remaining(work, 0),
      weight: (team) => options.catalogue.current().teams[team]?.weight ?? 1,
      fallbackShare: (team) => this.#fallbackShare(team),
      joined: (line) => {
        this.#reporter.active(line);
        this.#demandOf(line.service).joined(line);
      },
      left: (line) => {
        this.#demandOf(line.service).changed(line);
      },
    };
    this.#ticketOwner = {
      charge: ({ work }, amount) => {
        this.#lineOf(work.service, work.team).account.add(amount);
      },
      started: (ticket, firstByte) => {
        this.#started(ticket, firstByte);
      },
      returned: (ticket, outcome, firstByte, cost) => {
        this.#returned(ticket, outcome, firstByte, cost);
      },
    };
  }

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  acquire(work: PermitRequest, signal: AbortSignal): ResultAsync<PermitHandle, Failure> {
    return this.#intake.enter(work, signal, this.#lineOf(work.service, work.team));
  }

  /** Acts on a message of the router `from`. Any message may come twice, late or not at all. */
  receive(from: RouterName, message: AdmissionMessage): void {
    switch (message.kind) {
      case 'grant':
        for (const permit of message.permits) this.#grant(from, permit);
        break;
      case 'revoke':
        this.#holdings.revoke(message);
        break;
      case 'takeover':
        this.#takeover(from, message);
        break;
      case 'level':
        this.#level(message);
        break;
    }
  }

  /** Every team with work here within the last minute, per service. */
  teams(): readonly TeamStatus[] {
    const now = this.#options.clock.now();
    return [...this.#allLines()].map((line) => ({
      team: line.team,
      service: line.service,
      waiting: line.waiting,
      bytes: this.#intake.usage(line.team).bytes,
      oldestWait: line.oldestWait(now),
      inFlight: line.inFlight,
      share: line.share(),
      level: line.account.level,
    }));
  }

  /** Keeps deadlines, demand and reports going until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(tickPeriod, signal)) this.#tick(now);
  }

  #tick(now: Milliseconds): void {
    this.#pauses.tick();
    this.#intake.expire(now);
    this.#holdings.tick(now);
    this.#reporter.tick(now);
    for (const demand of this.#demands.values()) demand.tick(now);
    if (now - this.#reviewed >= reviewPeriod) {
      this.#reviewed = now;
      this.#review(now);
    }
  }

  #grant(from: RouterName, permit: Permit): void {
    const { metrics } = this.#options;
    const check = this.#holdings.check(permit);
    if (check === 'duplicate') {
      metrics.count('admission.duplicateGrant');
      return;
    }
    const line = this.#lines.get(permit.service)?.get(permit.team);
    line?.account.granted(from, this.#incarnation(from), permit.sequence);
    const refusal = check === 'usable' ? this.#refusal(permit) : check;
    const waiter = refusal === undefined ? line?.take(permit.server) : undefined;
    if (line !== undefined && waiter !== undefined) {
      line.inFlight += 1;
      const ticket = HeldTicket.create({
        permit,
        keeper: from,
        work: waiter.work,
        remaining: (received) => this.#remaining(waiter.work, received),
        clock: this.#options.clock,
        owner: this.#ticketOwner,
      });
      this.#holdings.add(ticket);
      this.#intake.serve(waiter, ticket);
    } else {
      metrics.count('admission.unusedGrant', { reason: refusal ?? 'nothingWaits' });
      this.#release(from, unused(permit));
    }
    if (line !== undefined) this.#demandOf(permit.service).granted(from, line);
  }

  /**
   * Why a grant must not be used: its keeper may have given it to others while this process stood
   * still, or may know less of a drain than the own catalogue.
   */
  #refusal(permit: Permit): 'afterPause' | 'outOfService' | undefined {
    if (this.#pauses.isAfterPause()) return 'afterPause';
    const catalogue = this.#options.catalogue.current();
    const server = catalogue.servers[permit.server];
    return server === undefined || isDrained(catalogue, server) ? 'outOfService' : undefined;
  }

  #takeover(from: RouterName, { server, fence }: Takeover): void {
    const { outbox, catalogue } = this.#options;
    this.#holdings.noteFence(server, fence);
    outbox.send(from, { kind: 'holding', server, fence, permits: this.#holdings.on(server) });
    const service = catalogue.current().servers[server]?.service;
    if (service !== undefined) this.#demands.get(service)?.takenOver(from);
  }

  #level(level: LevelUpdate): void {
    const line = this.#lines.get(level.service)?.get(level.team);
    const weight = this.#lineOwner.weight(level.team);
    if (line?.account.apply(level, weight, this.#lineOwner.now()) !== true) {
      this.#options.metrics.count('admission.oldLevel');
      return;
    }
    this.#demandOf(line.service).leveled(line);
  }

  #returned(
    ticket: HeldTicket,
    outcome: Outcome,
    firstByte: Milliseconds | null,
    cost: Cost,
  ): void {
    const { permit, work, keeper } = ticket;
    const line = this.#lineOf(work.service, work.team);
    const demand = this.#demandOf(work.service);
    const held = this.#holdings.remove(ticket);
    const { metrics } = this.#options;
    assertInvariant(metrics, held && line.inFlight > 0, `permit ${permit.id} was returned twice`);
    line.inFlight -= 1;
    if (outcome === 'used') this.#estimates.learn(work.entry, work.service, cost);
    const release = { id: permit.id, server: permit.server, outcome, firstByte, cost };
    this.#release(keeper, release);
    const present = demand.keeperOf(permit.server);
    if (present !== undefined && present !== keeper) this.#release(present, release);
    metrics.count('admission.released', { outcome });
    demand.changed(line);
  }

  #started({ permit, keeper }: HeldTicket, firstByte: Milliseconds): void {
    const start = { id: permit.id, server: permit.server, firstByte };
    const present = this.#demandOf(permit.service).keeperOf(permit.server) ?? keeper;
    this.#options.outbox.send(present, { kind: 'started', permits: [start] });
  }

  #release(to: RouterName, release: Release): void {
    const batch = this.#releases.get(to);
    if (batch === undefined) this.#releases.set(to, [release]);
    else batch.push(release);
    this.#schedule();
  }

  /** Sends at the end of this event loop turn, so that one message carries what belongs together. */
  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      for (const [to, permits] of this.#releases) {
        this.#options.outbox.send(to, { kind: 'release', permits });
      }
      this.#releases.clear();
      for (const demand of this.#demands.values()) demand.flush();
    });
  }

  #review(now: Milliseconds): void {
    const oldest = new Map<TeamName, Milliseconds>();
    for (const line of this.#allLines()) {
      if (line.waiting > 0) {
        oldest.set(line.team, Math.max(oldest.get(line.team) ?? 0, line.oldestWait(now)));
      } else if (line.inFlight === 0 && now - line.lastActive >= forgetLine) {
        this.#lines.get(line.service)?.delete(line.team);
      }
    }
    this.#alarms.check(oldest);
    this.#options.metrics.gauge('admission.waitingBytes', this.#intake.bytes);
  }

  *#allLines(): Generator<TeamLine> {
    for (const lines of this.#lines.values()) yield* lines.values();
  }

  #remaining({ entry, service, hint }: PermitRequest, received: Cost): Cost {
    return this.#estimates.remaining(entry, service, hint, received);
  }

  #fallbackShare(team: TeamName): number {
    const limit = this.#options.catalogue.current().teams[team]?.limits.inFlight ?? 0;
    return Math.max(1, Math.floor(limit / this.#reporter.routers));
  }

  #incarnation(router: RouterName): string | undefined {
    return this.#options.members.alive().find(({ name }) => name === router)?.incarnation;
  }

  #lineOf(service: ServiceName, team: TeamName): TeamLine {
    const lines = this.#lines.get(service) ?? new Map<TeamName, TeamLine>();
    this.#lines.set(service, lines);
    const known = lines.get(team);
    if (known !== undefined) return known;
    const { incarnation } = this.#options.members.self;
    const start = Math.floor(this.#options.random() * sequenceRange);
    const account = Account.create({ service, team, incarnation, start });
    const line = TeamLine.create(account, this.#lineOwner);
    lines.set(team, line);
    return line;
  }

  #demandOf(service: ServiceName): ServiceDemand {
    const known = this.#demands.get(service);
    if (known !== undefined) return known;
    const schedule = (): void => {
      this.#schedule();
    };
    const demand = ServiceDemand.create({ ...this.#options, service, schedule });
    this.#demands.set(service, demand);
    return demand;
  }
}

function unused({ id, server }: Permit): Release {
  return { id, server, outcome: 'unused', firstByte: null, cost: 0 };
}

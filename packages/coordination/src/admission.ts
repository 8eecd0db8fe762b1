// Admission control at the router that received the requests: queues them, sends demand for permits to the
// keepers, and gives granted permits to the head of the queue.

import type { Grant, Level, Revoke, Takeover } from '@catkinwheel/protocol';
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
import { CostEstimates } from './estimate.js';
import { OpenPermits } from './holdings.js';
import { Intake, type RouterLimits } from './intake.js';
import { assertInvariant } from './invariant.js';
import { TeamLine, type LineOwner } from './line.js';
import type {
  CatalogueView,
  Journal,
  MemberView,
  Metrics,
  Outbox,
  PermitSource,
  Random,
  Ticket,
  Work,
} from './ports.js';
import { PauseWatch } from './pauseWatch.js';
import { UsageReporter } from './reporter.js';
import { HeldTicket, type TicketOwner } from './ticket.js';

/** Precision of deadlines, of sending demand to further keepers and of the expiry of permits. */
const tickPeriod: Milliseconds = 10;

/** Interval of checking wait alarms and of removing idle teams. */
const reviewPeriod: Milliseconds = 100;

/** A team without requests is removed after this time, when its ledger has dropped its reports. */
const forgetLine: Milliseconds = 60_000;

/** First report sequences are random in this range, to tell the incarnations of a router apart. */
const sequenceRange = 2 ** 40;

/** Messages that admission handles. */
export type AdmissionMessage = Grant | Revoke | Takeover | Level;

/** State of one team for one service at this router, for operators. */
export interface TeamStatus {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly waiting: number;
  /** Bytes of the team's queued requests for all services. */
  readonly bytes: number;
  readonly oldestWait: Milliseconds;
  readonly inFlight: number;
  /** Maximum requests of the team in flight here. */
  readonly share: number;
  readonly level: Cost;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly journal: Journal;
  readonly random: Random;
  readonly limits: RouterLimits;
}

/** Gets permits from the keepers of the fleet, fairly among teams across all routers. */
export class Admission implements PermitSource {
  readonly #options: AdmissionOptions;
  readonly #intake: Intake;
  readonly #reporter: UsageReporter;
  readonly #openPermits: OpenPermits;
  readonly #alarms: WaitAlarms;
  readonly #estimates = CostEstimates.create();
  readonly #pauses: PauseWatch;
  readonly #lines = new Map<ServiceName, Map<TeamName, TeamLine>>();
  readonly #demands = new Map<ServiceName, ServiceDemand>();
  readonly #releases = new Map<RouterName, Release[]>();
  readonly #lineOwner: LineOwner;
  readonly #ticketOwner: TicketOwner;
  #scheduled = false;
  #reviewed: Milliseconds = -Infinity;

  private constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#pauses = PauseWatch.create(options.clock);
    this.#intake = Intake.create(options);
    this.#reporter = UsageReporter.create(options);
    this.#openPermits = OpenPermits.create(options.clock.now());
    this.#alarms = WaitAlarms.create(options);
    this.#lineOwner = {
      now: () => options.clock.now(),
      estimate: (work) => this.#remaining(work, 0),
      weight: (team) => options.catalogue.current().teams[team]?.weight ?? 1,
      fallbackShare: (team) => this.#fallbackShare(team),
      onQueued: (line) => {
        this.#reporter.onQueued(line);
        this.#demandOf(line.service).onQueued(line);
      },
      onDequeued: (line) => {
        this.#demandOf(line.service).onQueueChange(line);
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

  acquire(work: Work, signal: AbortSignal): ResultAsync<Ticket, Failure> {
    return this.#intake.enter(work, signal, this.#lineOf(work.service, work.team));
  }

  /** Handles a message of the router `from`. Messages may be repeated, late or lost. */
  receive(from: RouterName, message: AdmissionMessage): void {
    switch (message.kind) {
      case 'grant':
        for (const permit of message.permits) this.#grant(from, permit);
        break;
      case 'revoke':
        this.#openPermits.revoke(message);
        break;
      case 'takeover':
        this.#takeover(from, message);
        break;
      case 'level':
        this.#level(message);
        break;
    }
  }

  /** Every team with requests here within the last minute, per service. */
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

  /** Enforces deadlines and sends demand and reports until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(tickPeriod, signal)) this.#tick(now);
  }

  #tick(now: Milliseconds): void {
    this.#pauses.tick();
    this.#intake.expire(now);
    this.#openPermits.tick(now);
    this.#reporter.tick(now);
    for (const demand of this.#demands.values()) demand.tick(now);
    if (now - this.#reviewed >= reviewPeriod) {
      this.#reviewed = now;
      this.#review(now);
    }
  }

  #grant(from: RouterName, permit: Permit): void {
    const { metrics } = this.#options;
    const check = this.#openPermits.recordGrant(permit);
    if (check === 'duplicate') {
      metrics.count('admission.duplicateGrant');
      return;
    }
    const line = this.#lines.get(permit.service)?.get(permit.team);
    line?.account.recordGrant(from, this.#incarnation(from), permit.sequence);
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
      this.#openPermits.add(ticket);
      this.#intake.serve(waiter, ticket);
    } else {
      metrics.count('admission.unusedGrant', { reason: refusal ?? 'nothingWaits' });
      this.#release(from, unused(permit));
    }
    if (line !== undefined) this.#demandOf(permit.service).onGrant(from, line);
  }

  /**
   * Why a grant must not be used: its keeper may have granted it to others while this process was paused,
   * or may not know of a drain in this router's catalogue. Undefined if it may be used.
   */
  #refusal(permit: Permit): 'afterPause' | 'outOfService' | undefined {
    if (this.#pauses.isAfterPause()) return 'afterPause';
    const catalogue = this.#options.catalogue.current();
    const server = catalogue.servers[permit.server];
    return server === undefined || isDrained(catalogue, server) ? 'outOfService' : undefined;
  }

  #takeover(from: RouterName, { server, fence }: Takeover): void {
    const { outbox, catalogue } = this.#options;
    this.#openPermits.recordFence(server, fence);
    outbox.send(from, {
      kind: 'holding',
      server,
      fence,
      permits: this.#openPermits.ofServer(server),
    });
    const service = catalogue.current().servers[server]?.service;
    if (service !== undefined) this.#demands.get(service)?.onTakeover(from);
  }

  #level(level: Level): void {
    const line = this.#lines.get(level.service)?.get(level.team);
    const weight = this.#lineOwner.weight(level.team);
    if (line?.account.apply(level, weight, this.#lineOwner.now()) !== true) {
      this.#options.metrics.count('admission.oldLevel');
      return;
    }
    this.#demandOf(line.service).onLevel(line);
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
    const held = this.#openPermits.remove(ticket);
    const { metrics } = this.#options;
    assertInvariant(metrics, held && line.inFlight > 0, `permit ${permit.id} was returned twice`);
    line.inFlight -= 1;
    if (outcome === 'used') this.#estimates.recordCost(work.entry, work.service, cost);
    const release = { id: permit.id, server: permit.server, outcome, firstByte, cost };
    this.#release(keeper, release);
    const present = demand.keeperOf(permit.server);
    if (present !== undefined && present !== keeper) this.#release(present, release);
    metrics.count('admission.released', { outcome });
    demand.onQueueChange(line);
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

  /** Sends at the end of this event loop turn, so that releases and demand are batched. */
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

  #remaining({ entry, service, hint }: Work, received: Cost): Cost {
    return this.#estimates.remaining(entry, service, hint, received);
  }

  #fallbackShare(team: TeamName): number {
    const limit = this.#options.catalogue.current().teams[team]?.limits.inFlight ?? 0;
    return Math.max(1, Math.floor(limit / this.#reporter.routerCount));
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

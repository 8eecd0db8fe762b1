// Admission control at the router that received the requests: queues them, sends demand for permits to the
// keepers, and gives granted permits to the head of the queue.

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
import { TeamAccount } from './teamAccount.js';
import { WaitAlarms } from './waitAlarms.js';
import { ServiceDemand } from './demand.js';
import { CostEstimates } from './costEstimates.js';
import { OpenPermits } from './openPermits.js';
import { Intake, type RouterLimits } from './intake.js';
import { assertInvariant } from './invariant.js';
import { TeamWorkload, type WorkloadOwner } from './teamWorkload.js';
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
import { UsageReporter } from './usageReporter.js';
import { ChargedPermitHandle, type PermitHandleOwner } from './permitHandle.js';

/** Precision of deadlines, of sending demand to further keepers and of the expiry of permits. */
const tickInterval: Milliseconds = 10;

/** Interval of checking wait alarms and of removing idle teams. */
const reviewInterval: Milliseconds = 100;

/** A team without requests is removed after this time, when its ledger has dropped its reports. */
const idleWorkloadRetention: Milliseconds = 60_000;

/** First report sequences are random in this range, to tell the incarnations of a router apart. */
const sequenceRange = 2 ** 40;

/** Messages that admission handles. */
export type AdmissionMessage = Grant | Revoke | Takeover | LevelUpdate;

/** State of one team for one service at this router, for operators. */
export interface TeamStatus {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly waiting: number;
  /** Bytes of the team's queued requests for all services. */
  readonly bytes: number;
  readonly oldestWait: Milliseconds;
  readonly inFlight: number;
  /** Maximum number of the team's requests in flight here. */
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

/** Gets permits from the keepers of the fleet, fairly among teams across all routers. */
export class Admission implements PermitSource {
  readonly #options: AdmissionOptions;
  readonly #intake: Intake;
  readonly #reporter: UsageReporter;
  readonly #openPermits: OpenPermits;
  readonly #alarms: WaitAlarms;
  readonly #estimates = CostEstimates.create();
  readonly #pauses: PauseDetector;
  readonly #workloads = new Map<ServiceName, Map<TeamName, TeamWorkload>>();
  readonly #demands = new Map<ServiceName, ServiceDemand>();
  readonly #releases = new Map<RouterName, Release[]>();
  readonly #workloadOwner: WorkloadOwner;
  readonly #handleOwner: PermitHandleOwner;
  #isScheduled = false;
  #reviewedAt: Milliseconds = -Infinity;

  private constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#pauses = PauseDetector.create(options.clock);
    this.#intake = Intake.create(options);
    this.#reporter = UsageReporter.create(options);
    this.#openPermits = OpenPermits.create(options.clock.now());
    this.#alarms = WaitAlarms.create(options);
    this.#workloadOwner = {
      now: () => options.clock.now(),
      estimate: (request) => this.#remaining(request, 0),
      weight: (team) => options.catalogue.current().teams[team]?.weight ?? 1,
      fallbackShare: (team) => this.#fallbackShare(team),
      onQueued: (workload) => {
        this.#reporter.onQueued(workload);
        this.#demandOf(workload.service).onQueued(workload);
      },
      onDequeued: (workload) => {
        this.#demandOf(workload.service).onQueueChange(workload);
      },
    };
    this.#handleOwner = {
      charge: ({ request }, amount) => {
        this.#workloadOf(request.service, request.team).account.add(amount);
      },
      onSlowFirstByte: (handle, firstByte) => {
        this.#onSlowFirstByte(handle, firstByte);
      },
      onReturned: (handle, outcome, firstByte, cost) => {
        this.#onReturned(handle, outcome, firstByte, cost);
      },
    };
  }

  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  acquire(request: PermitRequest, signal: AbortSignal): ResultAsync<PermitHandle, Failure> {
    return this.#intake.enqueue(request, signal, this.#workloadOf(request.service, request.team));
  }

  /** Handles a message of the router `from`. Messages may be repeated, late or lost. */
  receive(from: RouterName, message: AdmissionMessage): void {
    switch (message.kind) {
      case 'grant':
        for (const permit of message.permits) this.#onGrant(from, permit);
        break;
      case 'revoke':
        this.#openPermits.revoke(message);
        break;
      case 'takeover':
        this.#onTakeover(from, message);
        break;
      case 'level':
        this.#onLevel(message);
        break;
    }
  }

  /** Every team with requests here within the last minute, per service. */
  teams(): readonly TeamStatus[] {
    const now = this.#options.clock.now();
    return [...this.#allWorkloads()].map((workload) => ({
      team: workload.team,
      service: workload.service,
      waiting: workload.waiting,
      bytes: this.#intake.usage(workload.team).bytes,
      oldestWait: workload.oldestWait(now),
      inFlight: workload.inFlight,
      share: workload.share(),
      level: workload.account.level,
    }));
  }

  /** Enforces deadlines and sends demand and reports until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    for await (const now of this.#options.clock.every(tickInterval, signal)) this.#tick(now);
  }

  #tick(now: Milliseconds): void {
    this.#pauses.tick();
    this.#intake.expire(now);
    this.#openPermits.tick(now);
    this.#reporter.tick(now);
    for (const demand of this.#demands.values()) demand.tick(now);
    if (now - this.#reviewedAt >= reviewInterval) {
      this.#reviewedAt = now;
      this.#review(now);
    }
  }

  #onGrant(from: RouterName, permit: Permit): void {
    const { metrics } = this.#options;
    const check = this.#openPermits.recordGrant(permit);
    if (check === 'duplicate') {
      metrics.count('admission.duplicateGrant');
      return;
    }
    const workload = this.#workloads.get(permit.service)?.get(permit.team);
    workload?.account.recordGrant(from, this.#incarnation(from), permit.sequence);
    const refusal = check === 'usable' ? this.#refusal(permit) : check;
    const waiter = refusal === undefined ? workload?.take(permit.server) : undefined;
    if (workload !== undefined && waiter !== undefined) {
      workload.inFlight += 1;
      const handle = ChargedPermitHandle.create({
        permit,
        keeper: from,
        request: waiter.request,
        remaining: (received) => this.#remaining(waiter.request, received),
        clock: this.#options.clock,
        owner: this.#handleOwner,
      });
      this.#openPermits.add(handle);
      this.#intake.complete(waiter, handle);
    } else {
      metrics.count('admission.unusedGrant', { reason: refusal ?? 'nothingWaits' });
      this.#release(from, unused(permit));
    }
    if (workload !== undefined) this.#demandOf(permit.service).onGrant(from, workload);
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

  #onTakeover(from: RouterName, { server, fence }: Takeover): void {
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

  #onLevel(level: LevelUpdate): void {
    const workload = this.#workloads.get(level.service)?.get(level.team);
    const weight = this.#workloadOwner.weight(level.team);
    if (workload?.account.apply(level, weight, this.#workloadOwner.now()) !== true) {
      this.#options.metrics.count('admission.oldLevel');
      return;
    }
    this.#demandOf(workload.service).onLevel(workload);
  }

  #onReturned(
    handle: ChargedPermitHandle,
    outcome: Outcome,
    firstByte: Milliseconds | null,
    cost: Cost,
  ): void {
    const { permit, request, keeper } = handle;
    const workload = this.#workloadOf(request.service, request.team);
    const demand = this.#demandOf(request.service);
    const held = this.#openPermits.remove(handle);
    const { metrics } = this.#options;
    assertInvariant(
      metrics,
      held && workload.inFlight > 0,
      `permit ${permit.id} was returned twice`,
    );
    workload.inFlight -= 1;
    if (outcome === 'used') this.#estimates.recordCost(request.entry, request.service, cost);
    const release = { id: permit.id, server: permit.server, outcome, firstByte, cost };
    this.#release(keeper, release);
    const currentKeeper = demand.keeperOf(permit.server);
    if (currentKeeper !== undefined && currentKeeper !== keeper)
      this.#release(currentKeeper, release);
    metrics.count('admission.released', { outcome });
    demand.onQueueChange(workload);
  }

  #onSlowFirstByte({ permit, keeper }: ChargedPermitHandle, firstByte: Milliseconds): void {
    const report = { id: permit.id, server: permit.server, firstByte };
    const currentKeeper = this.#demandOf(permit.service).keeperOf(permit.server) ?? keeper;
    this.#options.outbox.send(currentKeeper, { kind: 'started', permits: [report] });
  }

  #release(to: RouterName, release: Release): void {
    const batch = this.#releases.get(to);
    if (batch === undefined) this.#releases.set(to, [release]);
    else batch.push(release);
    this.#schedule();
  }

  /** Sends at the end of this event loop turn, so that releases and demand are batched. */
  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      for (const [to, permits] of this.#releases) {
        this.#options.outbox.send(to, { kind: 'release', permits });
      }
      this.#releases.clear();
      for (const demand of this.#demands.values()) demand.flush();
    });
  }

  #review(now: Milliseconds): void {
    const oldest = new Map<TeamName, Milliseconds>();
    for (const workload of this.#allWorkloads()) {
      if (workload.waiting > 0) {
        oldest.set(
          workload.team,
          Math.max(oldest.get(workload.team) ?? 0, workload.oldestWait(now)),
        );
      } else if (workload.inFlight === 0 && now - workload.lastActiveAt >= idleWorkloadRetention) {
        this.#workloads.get(workload.service)?.delete(workload.team);
      }
    }
    this.#alarms.check(oldest);
    this.#options.metrics.gauge('admission.waitingBytes', this.#intake.bytes);
  }

  *#allWorkloads(): Generator<TeamWorkload> {
    for (const workloads of this.#workloads.values()) yield* workloads.values();
  }

  #remaining({ entry, service, hint }: PermitRequest, received: Cost): Cost {
    return this.#estimates.remaining(entry, service, hint, received);
  }

  #fallbackShare(team: TeamName): number {
    const limit = this.#options.catalogue.current().teams[team]?.limits.inFlight ?? 0;
    return Math.max(1, Math.floor(limit / this.#reporter.routerCount));
  }

  #incarnation(router: RouterName): string | undefined {
    return this.#options.members.alive().find(({ name }) => name === router)?.incarnation;
  }

  #workloadOf(service: ServiceName, team: TeamName): TeamWorkload {
    const workloads = this.#workloads.get(service) ?? new Map<TeamName, TeamWorkload>();
    this.#workloads.set(service, workloads);
    const known = workloads.get(team);
    if (known !== undefined) return known;
    const { incarnation } = this.#options.members.self;
    const startSequence = Math.floor(this.#options.random() * sequenceRange);
    const account = TeamAccount.create({ service, team, incarnation, startSequence });
    const workload = TeamWorkload.create(account, this.#workloadOwner);
    workloads.set(team, workload);
    return workload;
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

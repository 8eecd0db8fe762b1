// Which requests were at a server when its process ended, as seen by the routers that had sent them. A lost connection alone
// is no end: the end is confirmed when the server cannot be reached afterwards, when its registration names a new start, or when
// it has no registration and another server or nobody listens at its address. Each router reports what it saw, and every router
// merges the reports of all.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { instanceKey, type ServerInstance } from './serverInstance.js';

/** A shared prompt part of requests that had hardly begun at a server when their connections were lost. */
export interface ImplicatedPart {
  readonly id: string;
  /** Position in the prompt; 0 is the first part. */
  readonly depth: number;
  /** Number of such requests. */
  readonly requests: number;
}

/** What one router saw of the end of one instance. */
export interface CrashReport {
  readonly reporter: string;
  readonly server: ServerInstance;
  /** When the first connection was lost, or the end was noticed. */
  readonly at: Milliseconds;
  readonly isConfirmed: boolean;
  /** Empty if the router had no such requests there. */
  readonly parts: readonly ImplicatedPart[];
}

/** The end of an instance, from the reports of all routers. */
export interface CrashEnd {
  readonly at: Milliseconds;
  readonly parts: ReadonlyMap<string, ImplicatedPart>;
}

/** A connection that was lost longer than this before the end was noticed was lost for another reason. */
const maxNoticeTime: Milliseconds = 5_000;
/** Time for which ends count as evidence. */
const evidenceLifetime: Milliseconds = 60_000;
/** Time after its last change for which a report is sent to other routers, so that lost datagrams do not matter. */
const sendingTime: Milliseconds = 3_000;
/** Max reports that are kept: those of the latest ends. */
const maxReports = 512;
/** Max reports in one datagram, and parts in one report, so that they fit. */
const maxSentReports = 12;
const maxParts = 24;

interface KnownReport extends CrashReport {
  readonly changedAt: Milliseconds;
}

/** The reports of one router and those that it has received. */
export class CrashReports {
  /** In the order of their last change. */
  readonly #reports = new Map<string, KnownReport>();
  /** The ends by these reports; undefined until they are needed. */
  #ends: readonly CrashEnd[] | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly self: string,
  ) {}

  /** `self` is the name of this router. */
  static create(clock: Clock, self: string): CrashReports {
    return new CrashReports(clock, self);
  }

  /** Records that a request that had hardly begun lost its connection to the server. */
  recordLoss(server: ServerInstance, partIds: readonly string[]): void {
    const known = this.#own(server);
    if (known === undefined && partIds.length === 0) return;
    const parts = partIds
      .map((id, depth) => ({ id, depth, requests: 1 }))
      .reduce(addPart, known?.parts ?? []);
    this.#put({
      reporter: this.self,
      server,
      at: known?.at ?? this.clock.now(),
      isConfirmed: known?.isConfirmed ?? false,
      parts: parts.slice(0, maxParts),
    });
  }

  /** Records that the instance cannot be reached, or that its registration names another start. */
  confirm(server: ServerInstance): void {
    const known = this.#own(server);
    if (known?.isConfirmed === true) return;
    const empty = { reporter: this.self, server, at: this.clock.now(), parts: [] };
    const report = known !== undefined && this.isRecent(server) ? known : empty;
    this.#put({ ...report, isConfirmed: true });
  }

  /** Whether this router lost a connection to the instance so lately that an end noticed now may be the cause. */
  isRecent(server: ServerInstance): boolean {
    const known = this.#own(server);
    return known !== undefined && this.clock.now() - known.at <= maxNoticeTime;
  }

  /** Records that the instance has responded to a request that was sent at `sentAt`: it has not ended before. */
  recordAlive(server: ServerInstance, sentAt: Milliseconds): void {
    const known = this.#own(server);
    if (known === undefined || known.isConfirmed || known.at >= sentAt) return;
    this.#delete(keyOf(known));
  }

  /** Instances to which this router has lost connections and of which it is not known whether they have ended. */
  unconfirmed(): readonly ServerInstance[] {
    return [...this.#reports.values()]
      .filter(({ reporter, isConfirmed }) => reporter === this.self && !isConfirmed)
      .map(({ server }) => server);
  }

  /** Merges a report of another router. Returns whether it says anything new. */
  receive(report: CrashReport): boolean {
    if (report.reporter === this.self) return false;
    const known = this.#reports.get(keyOf(report));
    const isNews =
      known === undefined
        ? this.#hasRoomFor(report)
        : (report.isConfirmed && !known.isConfirmed) || requestsOf(report) > requestsOf(known);
    const isConfirmed = report.isConfirmed || known?.isConfirmed === true;
    const parts = report.parts.slice(0, maxParts);
    if (isNews) this.#put({ ...report, isConfirmed, parts });
    return isNews;
  }

  /** Reports to send: those that changed lately, of this router only or of all routers. */
  recent(scope: 'own' | 'all'): readonly CrashReport[] {
    const oldest = this.clock.now() - sendingTime;
    return [...this.#reports.values()]
      .filter(({ reporter }) => scope === 'all' || reporter === this.self)
      .filter(({ changedAt }) => changedAt >= oldest)
      .slice(-maxSentReports);
  }

  /** Confirmed ends of instances, the earliest first. */
  ends(): readonly CrashEnd[] {
    this.#ends ??= endsOf([...this.#reports.values()]);
    return this.#ends;
  }

  expire(): void {
    const oldest = this.clock.now() - evidenceLifetime;
    for (const [key, { at }] of this.#reports) if (at < oldest) this.#delete(key);
  }

  #own(server: ServerInstance): KnownReport | undefined {
    return this.#reports.get(keyOf({ reporter: this.self, server }));
  }

  /** Whether the report is later than one that is kept, or there is room. One that was dropped is no news when it comes again. */
  #hasRoomFor({ at }: CrashReport): boolean {
    return this.#reports.size < maxReports || at > (this.#earliest()?.at ?? -Infinity);
  }

  #earliest(): KnownReport | undefined {
    let earliest: KnownReport | undefined;
    for (const report of this.#reports.values())
      if (earliest === undefined || report.at < earliest.at) earliest = report;
    return earliest;
  }

  #put(report: CrashReport): void {
    const key = keyOf(report);
    const earliest = this.#reports.size < maxReports ? undefined : this.#earliest();
    if (earliest !== undefined && !this.#reports.has(key)) this.#delete(keyOf(earliest));
    this.#reports.delete(key);
    this.#reports.set(key, { ...report, changedAt: this.clock.now() });
    this.#ends = undefined;
  }

  #delete(key: string): void {
    this.#reports.delete(key);
    this.#ends = undefined;
  }
}

function endsOf(reports: readonly CrashReport[]): readonly CrashEnd[] {
  const byInstance = new Map<string, CrashReport[]>();
  for (const report of reports) {
    const key = instanceKey(report.server);
    const known = byInstance.get(key);
    if (known === undefined) byInstance.set(key, [report]);
    else known.push(report);
  }
  return [...byInstance.values()].flatMap(endOf).sort((a, b) => a.at - b.at);
}

/** The end of one instance; none if it is not confirmed. */
function endOf(reports: readonly CrashReport[]): readonly CrashEnd[] {
  const confirmed = reports.filter(({ isConfirmed }) => isConfirmed);
  if (confirmed.length === 0) return [];
  const noticed = Math.min(...confirmed.map(({ at }) => at));
  const related = reports.filter(({ at }) => at >= noticed - maxNoticeTime);
  const parts = new Map<string, ImplicatedPart>();
  for (const part of related.flatMap((report) => report.parts)) {
    const requests = (parts.get(part.id)?.requests ?? 0) + part.requests;
    parts.set(part.id, { ...part, requests });
  }
  // A router that lost no request notices the end later than those that did.
  const withLoss = related.filter((report) => report.parts.length > 0);
  return [{ at: Math.min(noticed, ...withLoss.map(({ at }) => at)), parts }];
}

function addPart(
  parts: readonly ImplicatedPart[],
  added: ImplicatedPart,
): readonly ImplicatedPart[] {
  const known = parts.find(({ id }) => id === added.id);
  if (known === undefined) return [...parts, added];
  const sum = { ...known, requests: known.requests + added.requests };
  return parts.map((part) => (part === known ? sum : part));
}

function requestsOf({ parts }: CrashReport): number {
  return parts.reduce((sum, { requests }) => sum + requests, 0);
}

function keyOf({ reporter, server }: Pick<CrashReport, 'reporter' | 'server'>): string {
  return `${reporter} ${instanceKey(server)}`;
}

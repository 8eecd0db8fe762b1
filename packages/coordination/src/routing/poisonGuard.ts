// Guards servers against prompt parts under which they end: follows the requests of this router, tells the evidence to other
// routers and takes theirs, and says which requests are refused.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { CrashReports, type CrashEnd, type CrashReport } from './crashReports.js';
import type { Prompt } from './model.js';
import { PoisonParts, type TimedPart } from './poisonParts.js';
import type { ServerOutcome } from './serverHealth.js';
import { isSameInstance, instanceKey, type ServerInstance } from './serverInstance.js';

/**
 * Time for which a response has to go on after its first bytes to prove that the parts of its prompt are sound: a server that
 * ends under a part does so as it begins to write.
 */
const proofTime: Milliseconds = 400;
/** Max parts of each kind in one datagram, so that it fits. */
const maxSentParts = 24;

/** What routers tell one another about prompt parts under which servers end. */
export interface CrashEvidence {
  readonly crashes: readonly CrashReport[];
  /** Implicated parts with which requests were answered, with the times since then. */
  readonly sound: readonly TimedPart[];
  /** Blocked parts with the remaining times. */
  readonly blocked: readonly TimedPart[];
}

/** A part that is blocked now or no longer, with the number of ends that speak against it, if this router has judged it. */
export type PartChange =
  | { readonly kind: 'blocked'; readonly part: string; readonly ends: number | undefined }
  | { readonly kind: 'released'; readonly part: string };

/** What is known of registrations and addresses, to tell an end from a connection that was only lost. */
export interface EndSources {
  /** The instance that is registered under the id. */
  readonly instanceOf: (id: string) => ServerInstance | undefined;
  /** The server that is registered at the address. */
  readonly idAt: (address: string) => string | undefined;
  /** Whether connections to the address are refused, so that no process listens there. */
  readonly isRefused: (address: string) => Promise<boolean>;
}

const noSources: EndSources = {
  instanceOf: () => undefined,
  idAt: () => undefined,
  isRefused: () => Promise.resolve(false),
};

/** Follows one request at a server. */
export interface GuardedRun {
  /** Bytes of a successful response have arrived. */
  progressed(): void;
  /** The attempt has ended; `outcome` is undefined if it says nothing about the server. */
  finished(outcome: ServerOutcome | undefined): void;
}

export class PoisonGuard {
  readonly #crashes: CrashReports;
  readonly #parts: PoisonParts;
  /** Keys of instances whose addresses are being examined, or were. */
  readonly #examined = new Set<string>();
  #hasNews = false;

  private constructor(
    private readonly clock: Clock,
    self: string,
    private readonly onChange: (change: PartChange) => void,
    private readonly sources: EndSources,
  ) {
    this.#crashes = CrashReports.create(clock, self);
    this.#parts = PoisonParts.create(clock);
  }

  /** `self` is the name of this router. */
  static create(
    clock: Clock,
    self: string,
    onChange: (change: PartChange) => void,
    sources: EndSources = noSources,
  ): PoisonGuard {
    return new PoisonGuard(clock, self, onChange, sources);
  }

  /** How long requests with the prompt are refused; 0 if they are not. */
  blockedFor(prompt: Prompt | undefined): Milliseconds {
    return prompt === undefined ? 0 : this.#parts.blockedFor(sharedParts(prompt));
  }

  /** Follows a request that is being sent. `isLeaving` tells whether its server may end as planned. */
  begin(server: ServerInstance, prompt: Prompt | undefined, isLeaving: () => boolean): GuardedRun {
    const parts = prompt === undefined ? [] : sharedParts(prompt);
    const sentAt = this.clock.now();
    let firstAt: Milliseconds | undefined;
    let isProven = parts.length === 0;
    const prove = (): void => {
      if (isProven) return;
      isProven = true;
      this.#prove(parts);
    };
    return {
      progressed: () => {
        const now = this.clock.now();
        firstAt ??= now;
        if (now - firstAt >= proofTime) prove();
      },
      finished: (outcome) => {
        switch (outcome) {
          case 'answered':
            if (firstAt !== undefined) prove();
            this.#crashes.recordAlive(server, sentAt);
            return;
          case 'refused':
            this.#crashes.recordAlive(server, sentAt);
            return;
          case 'disconnected':
            if (isProven || isLeaving()) return;
            this.#crashes.recordLoss(server, parts);
            this.#examine(server);
            break;
          case 'unreachable':
          case 'ended':
          case 'misdirected':
            if (isLeaving()) return;
            this.#crashes.confirm(server);
            break;
          case 'failed':
          case undefined:
            return;
        }
        this.#hasNews = true;
      },
    };
  }

  /** Looks at the registrations again, since they have changed. */
  recordRegistrations(): void {
    for (const server of this.#crashes.unconfirmed()) this.#examine(server);
  }

  /**
   * Looks for signs that an instance to which connections were lost has ended: another one is registered under its id, or none
   * and another server is registered at its address or nobody listens there. That the registration is gone says nothing by
   * itself: entries lapse, and servers that are taken away go on for some time.
   */
  #examine(server: ServerInstance): void {
    const registered = this.sources.instanceOf(server.id);
    if (registered !== undefined) {
      if (!isSameInstance(registered, server)) this.#confirm(server);
      return;
    }
    if (!this.#crashes.isRecent(server)) return;
    if (this.sources.idAt(server.address) !== undefined) {
      this.#confirm(server);
      return;
    }
    const key = instanceKey(server);
    if (this.#examined.has(key)) return;
    this.#examined.add(key);
    void this.sources.isRefused(server.address).then((isRefused) => {
      if (isRefused && this.#crashes.isRecent(server)) this.#confirm(server);
    });
  }

  #confirm(server: ServerInstance): void {
    this.#crashes.confirm(server);
    this.#hasNews = true;
  }

  /** Periodic work: judges new evidence and drops what is old. */
  tick(): void {
    this.#crashes.expire();
    this.#parts.expire();
    this.#forgetExamined();
    if (!this.#hasNews) return;
    this.#hasNews = false;
    for (const { part, ends } of this.#parts.judge(this.#crashes.ends()))
      this.onChange({ kind: 'blocked', part, ends });
  }

  /** What to tell other routers: what this router has seen, or what it knows from all. */
  evidence(scope: 'own' | 'all'): CrashEvidence {
    return {
      crashes: this.#crashes.recent(scope),
      sound: this.#parts.proofsOf(mostImplicated(this.#crashes.ends())).slice(0, maxSentParts),
      blocked: this.#parts.blocked().slice(0, maxSentParts),
    };
  }

  /** Takes what another router tells. Returns the instances that have ended by its reports, as far as these say anything new. */
  hear({ crashes, sound, blocked }: CrashEvidence): readonly ServerInstance[] {
    for (const [part, age] of sound) this.#prove([part], age);
    const news = crashes.filter((report) => this.#crashes.receive(report));
    if (news.length > 0) this.#hasNews = true;
    for (const timed of blocked)
      if (this.#parts.adopt(timed))
        this.onChange({ kind: 'blocked', part: timed[0], ends: undefined });
    return news.filter(({ isConfirmed }) => isConfirmed).map(({ server }) => server);
  }

  #forgetExamined(): void {
    if (this.#examined.size === 0) return;
    const open = new Set(this.#crashes.unconfirmed().map(instanceKey));
    for (const key of this.#examined) if (!open.has(key)) this.#examined.delete(key);
  }

  #prove(parts: readonly string[], age?: Milliseconds): void {
    for (const part of this.#parts.prove(parts, age)) {
      this.onChange({ kind: 'released', part });
      // The ends that the part seemed to explain have another cause.
      this.#hasNews = true;
    }
  }
}

/** Ids of the parts that other requests may have as well: all but the last. */
function sharedParts({ parts }: Prompt): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}

/** The parts that were at the ends, those at most ends first. */
function mostImplicated(ends: readonly CrashEnd[]): readonly string[] {
  const counts = new Map<string, number>();
  for (const { parts } of ends)
    for (const part of parts.keys()) counts.set(part, (counts.get(part) ?? 0) + 1);
  return [...counts].sort(([, a], [, b]) => b - a).map(([part]) => part);
}

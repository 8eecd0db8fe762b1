// Sends the demand for permits (queued requests per team) to the keepers. Messages may be lost and cost
// traffic, so this decides which keeper gets which rows and when.

import type { TeamDemand } from '@catkinwheel/protocol';
import type {
  Clock,
  Cost,
  Milliseconds,
  RouterName,
  ServerName,
  ServiceName,
  TeamName,
} from '@catkinwheel/state';
import type { TeamLine } from './line.js';
import type { Kept, MemberView, Outbox, Random } from './ports.js';

/**
 * Number of keepers that get the demand of a team first. Every keeper that gets it may grant a permit
 * for the same request, and the surplus grants come back unused.
 */
const narrowKeepers = 2;

/** Wait without a grant after which the demand of a team goes to all keepers. */
const widenAfter: Milliseconds = 10;

/** Interval of reading the keepers from the heartbeats, which arrive every 500 ms. */
const viewPeriod: Milliseconds = 50;

/** Interval of repeating the whole demand while requests are queued, because messages may be lost. */
const refreshPeriod: Milliseconds = 500;

/**
 * Maximum delay of a changed level on its way to the keepers. In an early version of the fairness test,
 * the fairness gap over six seeds was 2,305 to 4,353 with 40 ms, 2,756 to 4,450 with 10 ms for a fifth
 * more traffic, and up to 7,451 with 80 ms.
 */
const levelPeriod: Milliseconds = 40;

/**
 * A level is sent again once it changed by this fraction of the estimated cost of a request. Over three
 * seeds of the fairness test, the mean fairness gap was 3,497 with 0.5, and 4,006 with 0.25 for 2 % more
 * traffic.
 */
const levelTolerance = 0.5;

/** When the next demand is due, in order of urgency; `soon` means within `levelPeriod`. */
const urgency = ['no', 'soon', 'nextTick', 'thisTurn'] as const;
type Due = (typeof urgency)[number];

/** The demand last sent to one router that keeps servers of the service. */
interface Post {
  readonly router: RouterName;
  /** Servers and fences of the router; after a change it may not have the demand. */
  readonly signature: string;
  /** Whether the router is among the keepers that get the demand of a team first. */
  readonly narrow: boolean;
  /** Requested permits per team that were not granted yet. */
  readonly asked: Map<TeamName, number>;
  /** Levels last sent. */
  readonly levels: Map<TeamName, Cost>;
  due: Due;
  sent: Milliseconds;
  /** When the whole demand was sent last. */
  completed: Milliseconds;
}

interface DemandOptions {
  readonly service: ServiceName;
  readonly clock: Clock;
  readonly members: MemberView;
  readonly outbox: Outbox;
  readonly random: Random;
  /** Requests a call of `flush` at the end of this event loop turn. */
  readonly schedule: () => void;
}

/** Demand of all teams of this router for one service. */
export class ServiceDemand {
  readonly #options: DemandOptions;
  readonly #waiting = new Set<TeamLine>();
  readonly #keepers = new Map<ServerName, Kept>();
  #posts: ReadonlyMap<RouterName, Post> = new Map();
  #viewed: Milliseconds = -Infinity;
  #changed = false;

  private constructor(options: DemandOptions) {
    this.#options = options;
  }

  static create(options: DemandOptions): ServiceDemand {
    return new ServiceDemand(options);
  }

  /** The router that keeps the server by the last heartbeats; undefined if none is known. */
  keeperOf(server: ServerName): RouterName | undefined {
    this.#refreshView();
    return this.#keepers.get(server)?.router;
  }

  /** A request was queued. Keepers without demand of the team get it in this event loop turn. */
  joined(line: TeamLine): void {
    this.#waiting.add(line);
    this.#changed = true;
    this.#refreshView();
    if (line.want() > 0) this.#askNow(line);
  }

  /** Requests left the queue, got a permit or returned one; the next tick sends the change. */
  changed(line: TeamLine): void {
    this.#changed = true;
    if (line.waiting === 0) this.#waiting.delete(line);
  }

  /** A level arrived: keepers need it for their decisions, and the share may allow more requests. */
  leveled(line: TeamLine): void {
    for (const post of this.#posts.values()) {
      if (post.asked.has(line.team)) this.#due(post, 'soon');
    }
    if (line.want() > 0) this.#askNow(line);
  }

  /** A grant arrived. It raised the level of the team, as do requests that exceed their estimate. */
  granted(keeper: RouterName, line: TeamLine): void {
    this.changed(line);
    for (const post of this.#posts.values()) {
      if (post.asked.has(line.team)) this.#due(post, 'soon');
    }
    const post = this.#posts.get(keeper);
    if (post === undefined) return;
    const left = (post.asked.get(line.team) ?? 0) - 1;
    if (left > 0) post.asked.set(line.team, left);
    else {
      post.asked.delete(line.team);
      if (line.want() > 0) this.#due(post, 'thisTurn');
    }
  }

  /** A server has a new keeper, which has no demand yet. */
  takenOver(keeper: RouterName): void {
    this.#view();
    const post = this.#posts.get(keeper);
    if (post !== undefined && this.#waiting.size > 0) this.#due(post, 'thisTurn');
  }

  /** Sends the demand that is due in this event loop turn. */
  flush(): void {
    const now = this.#options.clock.now();
    for (const post of this.#posts.values()) if (post.due === 'thisTurn') this.#send(post, now);
  }

  /**
   * Sends demand to further keepers, repeats and corrects it. Called every few milliseconds; cheap if no
   * request is queued.
   */
  tick(now: Milliseconds): void {
    if (this.#waiting.size === 0 && !this.#changed) return;
    this.#refreshView();
    this.#widen(now);
    for (const post of this.#posts.values()) {
      if (this.#changed && this.#outdated(post)) this.#due(post, 'nextTick');
      if (now - post.completed >= refreshPeriod) this.#due(post, 'nextTick');
      if (post.due === 'soon' ? now - post.sent >= levelPeriod : post.due !== 'no') {
        this.#send(post, now);
      }
    }
    this.#changed = false;
  }

  #widen(now: Milliseconds): void {
    for (const line of this.#waiting) {
      if (line.wide || now - line.waitingSince < widenAfter) continue;
      line.wide = true;
      this.#changed = true;
    }
  }

  #askNow(line: TeamLine): void {
    for (const post of this.#posts.values()) {
      if ((line.wide || post.narrow) && !post.asked.has(line.team)) this.#due(post, 'thisTurn');
    }
  }

  #due(post: Post, due: Due): void {
    if (urgency.indexOf(due) <= urgency.indexOf(post.due)) return;
    post.due = due;
    if (due === 'thisTurn') this.#options.schedule();
  }

  /**
   * Whether the demand last sent is wrong by more than a factor of two for some team, or names a team
   * without queued requests. Smaller differences are harmless.
   */
  #outdated(post: Post): boolean {
    let known = 0;
    for (const line of this.#waiting) {
      const asked = post.asked.get(line.team) ?? 0;
      if (asked > 0) known += 1;
      if (!line.wide && !post.narrow) continue;
      const want = line.want();
      if (asked * 2 < want || want * 2 < asked) return true;
    }
    return known < post.asked.size;
  }

  /** Sends the rows that changed; all rows once per `refreshPeriod`, because messages may be lost. */
  #send(post: Post, now: Milliseconds): void {
    const rows = [...this.#waiting]
      .map((line) => ({ line, want: line.wide || post.narrow ? line.want() : 0 }))
      .filter(({ want }) => want > 0)
      .map(({ line, want }) => line.demand(post.router, want));
    const waiting = new Set(rows.map(({ team }) => team));
    // Only a complete demand removes a team: the keeper drops the teams that are not in it.
    const hasEnded = [...post.asked.keys()].some((team) => !waiting.has(team));
    const complete = hasEnded || now - post.completed >= refreshPeriod;
    const teams = complete ? rows : rows.filter((row) => isNews(post, row));
    post.due = 'no';
    if (teams.length === 0 && !hasEnded) return;
    post.sent = now;
    if (complete) {
      post.completed = now;
      post.asked.clear();
    }
    for (const { team, interactive, batch, level } of teams) {
      post.asked.set(team, interactive + batch);
      post.levels.set(team, level);
    }
    const { outbox, service } = this.#options;
    outbox.send(post.router, { kind: 'demand', service, complete, teams });
  }

  #refreshView(): void {
    if (this.#options.clock.now() - this.#viewed >= viewPeriod) this.#view();
  }

  /** Reads the keepers of the service from the last heartbeats. */
  #view(): void {
    this.#viewed = this.#options.clock.now();
    const groups = new Map<RouterName, Kept[]>();
    this.#keepers.clear();
    for (const kept of this.#options.members.keepers(this.#options.service)) {
      this.#keepers.set(kept.state.server, kept);
      const group = groups.get(kept.router);
      if (group === undefined) groups.set(kept.router, [kept]);
      else group.push(kept);
    }
    const first = new Set(this.#mostFree(groups));
    const posts = new Map<RouterName, Post>();
    for (const [router, group] of groups) {
      posts.set(router, this.#postOf(router, group, first.has(router)));
    }
    this.#posts = posts;
  }

  #postOf(router: RouterName, group: readonly Kept[], narrow: boolean): Post {
    const signature = group.map(({ state }) => `${state.server}/${state.fence}`).join(' ');
    const known = this.#posts.get(router);
    if (known?.signature === signature) {
      return known.narrow === narrow ? known : { ...known, narrow };
    }
    const due = this.#waiting.size > 0 ? 'nextTick' : 'no';
    return {
      router,
      signature,
      narrow,
      asked: new Map(),
      levels: new Map(),
      due,
      sent: -Infinity,
      completed: -Infinity,
    };
  }

  /** The keepers that get demand first: this router if it has free permits, then those with most. */
  #mostFree(groups: ReadonlyMap<RouterName, readonly Kept[]>): readonly RouterName[] {
    const { members, random } = this.#options;
    return [...groups]
      .map(([router, group]) => {
        const free = group.reduce((sum, kept) => sum + freePermits(kept), 0);
        const own = router === members.self.name && free > 0;
        return { router, free: own ? Infinity : free, tie: random() };
      })
      .sort((a, b) => (a.free === b.free ? a.tie - b.tie : b.free - a.free))
      .slice(0, narrowKeepers)
      .map(({ router }) => router);
  }
}

/** Whether the row differs enough from the one last sent to change a decision of the keeper. */
function isNews(
  post: Post,
  { team, interactive, batch, level, estimate, weight }: TeamDemand,
): boolean {
  const want = interactive + batch;
  const asked = post.asked.get(team) ?? 0;
  if (asked === 0 || asked * 2 < want || want * 2 < asked) return true;
  const change = Math.abs(level - (post.levels.get(team) ?? -Infinity));
  return change >= (levelTolerance * estimate) / weight;
}

function freePermits({ state }: Kept): number {
  return state.authority === 'none' ? 0 : Math.max(0, state.limit - state.inFlight);
}

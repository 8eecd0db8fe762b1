// Keepers learn here what waits. Demand may be lost and costs traffic, so this decides when to say
// what to whom.

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
import type { ServerKeeper, MemberView, Outbox, Random } from './ports.js';

/** Keepers that hear of a team first, so that few of several grants for one request are in vain. */
const narrowKeepers = 2;

/** Wait without a grant after which all keepers hear of a team. */
const widenAfter: Milliseconds = 10;

/** What heartbeats say of keepers is read this often; they come every 500 ms. */
const viewPeriod: Milliseconds = 50;

/** Demand is repeated this often while something waits, because messages may be lost. */
const refreshPeriod: Milliseconds = 500;

/**
 * Keepers hear of changed levels within this time. In an early version of the fairness test, six
 * seeds gave a gap of 2,305 to 4,353 with 40 ms, 2,756 to 4,450 with 10 ms for a fifth more traffic,
 * and up to 7,451 with 80 ms.
 */
const levelPeriod: Milliseconds = 40;

/**
 * A level is news once it changed by this part of the cost of a request. Over three seeds of the
 * fairness test, 0.5 gave a mean gap of 3,497, and 0.25 gave 4,006 for 2 % more traffic.
 */
const levelTolerance = 0.5;

/** When the next demand is due, in rising urgency; `soon` means within `levelPeriod`. */
const urgency = ['no', 'soon', 'nextTick', 'thisTurn'] as const;
type Due = (typeof urgency)[number];

/** What was last said to one keeper router. */
interface Post {
  readonly router: RouterName;
  /** Servers and fences of the router; a change means that it may know nothing. */
  readonly signature: string;
  readonly narrow: boolean;
  /** Permits asked for per team and not yet granted. */
  readonly asked: Map<TeamName, number>;
  /** Levels that the keeper was told. */
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
  /** Asks for `flush` at the end of this event loop turn. */
  readonly schedule: () => void;
}

/** Demand of all teams of this router for one service. */
export class ServiceDemand {
  readonly #options: DemandOptions;
  readonly #waiting = new Set<TeamLine>();
  readonly #keepers = new Map<ServerName, ServerKeeper>();
  #posts: ReadonlyMap<RouterName, Post> = new Map();
  #viewed: Milliseconds = -Infinity;
  #changed = false;

  private constructor(options: DemandOptions) {
    this.#options = options;
  }

  static create(options: DemandOptions): ServiceDemand {
    return new ServiceDemand(options);
  }

  /** The present keeper of a server, as far as known. */
  keeperOf(server: ServerName): RouterName | undefined {
    this.#refreshView();
    return this.#keepers.get(server)?.router;
  }

  /** A request joined the line; a keeper that knows nothing of the team hears of it in this turn. */
  joined(line: TeamLine): void {
    this.#waiting.add(line);
    this.#changed = true;
    this.#refreshView();
    if (line.want() > 0) this.#askNow(line);
  }

  /** Requests left the line, were granted or came back; the next tick says so. */
  changed(line: TeamLine): void {
    this.#changed = true;
    if (line.waiting === 0) this.#waiting.delete(line);
  }

  /** A level arrived: every keeper should decide by it, and the share may now allow more. */
  leveled(line: TeamLine): void {
    for (const post of this.#posts.values()) {
      if (post.asked.has(line.team)) this.#due(post, 'soon');
    }
    if (line.want() > 0) this.#askNow(line);
  }

  /** A grant arrived, which raised the level of the team; what ran longer than expected did too. */
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

  /** A new keeper knows no demand yet. */
  takenOver(keeper: RouterName): void {
    this.#view();
    const post = this.#posts.get(keeper);
    if (post !== undefined && this.#waiting.size > 0) this.#due(post, 'thisTurn');
  }

  /** Sends what must not wait for the next tick. */
  flush(): void {
    const now = this.#options.clock.now();
    for (const post of this.#posts.values()) if (post.due === 'thisTurn') this.#send(post, now);
  }

  /** Widens, repeats and corrects demand. Called every few milliseconds; cheap if nothing waits. */
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

  /** Whether the keeper knows of much more or much less than waits; small differences do no harm. */
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

  /** Sends the rows that are news to the keeper; all of them from time to time, as messages may be lost. */
  #send(post: Post, now: Milliseconds): void {
    const rows = [...this.#waiting]
      .map((line) => ({ line, want: line.wide || post.narrow ? line.want() : 0 }))
      .filter(({ want }) => want > 0)
      .map(({ line, want }) => line.demand(post.router, want));
    const waiting = new Set(rows.map(({ team }) => team));
    // Leaving a team out of a complete demand is how a keeper learns that it waits no more.
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

  /** Takes over what heartbeats say of the keepers. */
  #view(): void {
    this.#viewed = this.#options.clock.now();
    const groups = new Map<RouterName, ServerKeeper[]>();
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

  #postOf(router: RouterName, group: readonly ServerKeeper[], narrow: boolean): Post {
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

  /** The keepers that hear of a team first: the own router if it has free permits, then by free permits. */
  #mostFree(groups: ReadonlyMap<RouterName, readonly ServerKeeper[]>): readonly RouterName[] {
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

/** Whether the keeper would decide otherwise by the row than by what it knows. */
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

function freePermits({ state }: ServerKeeper): number {
  return state.authority === 'none' ? 0 : Math.max(0, state.limit - state.inFlight);
}

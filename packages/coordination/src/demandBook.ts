// Demand for one service that the keepers of one router share: a free permit of any of its servers goes
// to the team that has received the least service for its weight.

import type { TeamDemand } from '@catkinwheel/protocol';
import type { Clock, Cost, Milliseconds, RouterName, TeamName } from '@catkinwheel/state';

/** Queued requests of one team at one router. */
interface Claim {
  readonly from: RouterName;
  readonly team: TeamState;
  waiting: number;
  estimate: Cost;
  /** Arrival of the oldest queued request, on this router's clock. */
  oldestSince: Milliseconds;
  /** Estimated costs of the grants that `level` does not contain yet, by sequence in rising order. */
  readonly uncounted: Map<number, Cost>;
  /** Sequence of the last grant for this router, service and team. */
  sequence: number;
}

interface TeamState {
  readonly name: TeamName;
  level: Cost;
  weight: number;
  uncountedCost: Cost;
  readonly claims: Map<RouterName, Claim>;
}

/** Recipient and sequence of the next grant. */
export interface Turn {
  readonly to: RouterName;
  readonly team: TeamName;
  readonly sequence: number;
}

/** The newest demand for one service, by team and router. */
export class DemandBook {
  readonly #clock: Clock;
  readonly #teams = new Map<TeamName, TeamState>();
  /** Teams with queued requests, so that choosing the next one skips idle teams. */
  readonly #backlog = new Set<TeamState>();
  readonly #isPresent: (router: RouterName) => boolean;

  private constructor(clock: Clock, isPresent: (router: RouterName) => boolean) {
    this.#clock = clock;
    this.#isPresent = isPresent;
  }

  /** Routers that are not present get no grants; their demand counts again when they return. */
  static create(clock: Clock, isPresent: (router: RouterName) => boolean): DemandBook {
    return new DemandBook(clock, isPresent);
  }

  /** Replaces the demand of the router `from`: all of it if `complete`, else only that of `teams`. */
  update(from: RouterName, teams: readonly TeamDemand[], complete: boolean): void {
    const named = new Set(teams.map(({ team }) => team));
    for (const team of complete ? this.#backlog : []) {
      const claim = team.claims.get(from);
      if (claim !== undefined && !named.has(team.name)) claim.waiting = 0;
    }
    for (const demand of teams) this.#claimed(from, demand);
  }

  /**
   * Takes the next grant: of the team with the lowest effective level (level plus grants not counted in
   * it), the router with the oldest queued request. Undefined if there is no demand.
   */
  take(): Turn | undefined {
    const claim = this.#next();
    if (claim === undefined) return undefined;
    claim.waiting -= 1;
    claim.sequence += 1;
    claim.uncounted.set(claim.sequence, claim.estimate);
    claim.team.uncountedCost += claim.estimate;
    return { to: claim.from, team: claim.team.name, sequence: claim.sequence };
  }

  /** Removes the cost of a grant that came back unused, because it will not be charged. */
  unused({ to, team, sequence }: Turn): void {
    const claim = this.#teams.get(team)?.claims.get(to);
    if (claim !== undefined) settle(claim, sequence);
  }

  /** Drops demand and uncounted grants of a lost router. Its sequences continue. */
  forget(router: RouterName): void {
    for (const { claims } of this.#teams.values()) {
      const claim = claims.get(router);
      if (claim === undefined) continue;
      claim.waiting = 0;
      for (const sequence of claim.uncounted.keys()) settle(claim, sequence);
    }
  }

  #claimed(from: RouterName, demand: TeamDemand): void {
    const team = this.#team(demand);
    const claim = this.#claim(from, team);
    team.level = demand.level;
    team.weight = demand.weight;
    claim.waiting = demand.interactive + demand.batch;
    claim.estimate = demand.estimate;
    claim.oldestSince = this.#clock.now() - demand.oldest;
    for (const sequence of claim.uncounted.keys()) {
      if (sequence > demand.counted) break;
      settle(claim, sequence);
    }
    if (claim.waiting > 0) this.#backlog.add(team);
  }

  #team({ team: name, level, weight }: TeamDemand): TeamState {
    const known = this.#teams.get(name);
    if (known !== undefined) return known;
    const team: TeamState = { name, level, weight, uncountedCost: 0, claims: new Map() };
    this.#teams.set(name, team);
    return team;
  }

  #claim(from: RouterName, team: TeamState): Claim {
    const known = team.claims.get(from);
    if (known !== undefined) return known;
    const claim = {
      from,
      team,
      waiting: 0,
      estimate: 0,
      oldestSince: 0,
      uncounted: new Map<number, Cost>(),
      sequence: 0,
    };
    team.claims.set(from, claim);
    return claim;
  }

  #next(): Claim | undefined {
    let best: Claim | undefined;
    let bestLevel = Infinity;
    for (const team of this.#backlog) {
      const level = team.level + team.uncountedCost / team.weight;
      if (level > bestLevel) continue;
      const claim = this.#oldest(team);
      // Ties are broken by name, so that equal demand always gives the same grants.
      if (claim === undefined || (level === bestLevel && best && best.team.name < team.name)) {
        continue;
      }
      best = claim;
      bestLevel = level;
    }
    return best;
  }

  #oldest(team: TeamState): Claim | undefined {
    let oldest: Claim | undefined;
    let isWaiting = false;
    for (const claim of team.claims.values()) {
      if (claim.waiting === 0) continue;
      isWaiting = true;
      if (!this.#isPresent(claim.from)) continue;
      if (oldest === undefined || claim.oldestSince < oldest.oldestSince) oldest = claim;
    }
    if (!isWaiting) this.#backlog.delete(team);
    return oldest;
  }
}

function settle(claim: Claim, sequence: number): void {
  const cost = claim.uncounted.get(sequence);
  if (cost === undefined) return;
  claim.uncounted.delete(sequence);
  claim.team.uncountedCost = claim.uncounted.size === 0 ? remainder(claim) : less(claim, cost);
}

function less({ team }: Claim, cost: Cost): Cost {
  return Math.max(0, team.uncountedCost - cost);
}

/** The sum over all routers, computed afresh so that rounding errors do not accumulate. */
function remainder({ team }: Claim): Cost {
  let sum = 0;
  for (const { uncounted } of team.claims.values())
    for (const cost of uncounted.values()) sum += cost;
  return sum;
}

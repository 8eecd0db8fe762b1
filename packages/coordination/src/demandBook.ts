// Demand for one service that the keepers of one router share: a free permit of any of its servers goes
// to the team that has received the least service for its weight.

import type { TeamDemand } from '@catkinwheel/protocol';
import type { Clock, Cost, Milliseconds, RouterName, TeamName } from '@catkinwheel/state';

/** Queued requests of one team at one router. */
interface RouterDemand {
  readonly from: RouterName;
  readonly team: TeamState;
  waiting: number;
  estimate: Cost;
  /** Arrival of the oldest queued request, on this router's clock. */
  oldestArrival: Milliseconds;
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
  readonly demands: Map<RouterName, RouterDemand>;
}

/** Recipient and sequence of the next grant. */
export interface NextGrant {
  readonly to: RouterName;
  readonly team: TeamName;
  readonly sequence: number;
}

/** The newest demand for one service, by team and router. */
export class DemandBook {
  readonly #clock: Clock;
  readonly #teams = new Map<TeamName, TeamState>();
  /** Teams with queued requests, so that choosing the next one skips idle teams. */
  readonly #queuedTeams = new Set<TeamState>();
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
    for (const team of complete ? this.#queuedTeams : []) {
      const demand = team.demands.get(from);
      if (demand !== undefined && !named.has(team.name)) demand.waiting = 0;
    }
    for (const row of teams) this.#applyRow(from, row);
  }

  /**
   * Takes the next grant: of the team with the lowest effective level (level plus grants not counted in
   * it), the router with the oldest queued request. Undefined if there is no demand.
   */
  take(): NextGrant | undefined {
    const demand = this.#next();
    if (demand === undefined) return undefined;
    demand.waiting -= 1;
    demand.sequence += 1;
    demand.uncounted.set(demand.sequence, demand.estimate);
    demand.team.uncountedCost += demand.estimate;
    return { to: demand.from, team: demand.team.name, sequence: demand.sequence };
  }

  /** Removes the cost of a grant that came back unused, because it will not be charged. */
  returnUnused({ to, team, sequence }: NextGrant): void {
    const demand = this.#teams.get(team)?.demands.get(to);
    if (demand !== undefined) removeUncounted(demand, sequence);
  }

  /** Drops demand and uncounted grants of a lost router. Its sequences continue. */
  dropRouter(router: RouterName): void {
    for (const { demands } of this.#teams.values()) {
      const demand = demands.get(router);
      if (demand === undefined) continue;
      demand.waiting = 0;
      for (const sequence of demand.uncounted.keys()) removeUncounted(demand, sequence);
    }
  }

  #applyRow(from: RouterName, row: TeamDemand): void {
    const team = this.#team(row);
    const demand = this.#demand(from, team);
    team.level = row.level;
    team.weight = row.weight;
    demand.waiting = row.interactive + row.batch;
    demand.estimate = row.estimate;
    demand.oldestArrival = this.#clock.now() - row.oldest;
    for (const sequence of demand.uncounted.keys()) {
      if (sequence > row.counted) break;
      removeUncounted(demand, sequence);
    }
    if (demand.waiting > 0) this.#queuedTeams.add(team);
  }

  #team({ team: name, level, weight }: TeamDemand): TeamState {
    const known = this.#teams.get(name);
    if (known !== undefined) return known;
    const team: TeamState = { name, level, weight, uncountedCost: 0, demands: new Map() };
    this.#teams.set(name, team);
    return team;
  }

  #demand(from: RouterName, team: TeamState): RouterDemand {
    const known = team.demands.get(from);
    if (known !== undefined) return known;
    const demand = {
      from,
      team,
      waiting: 0,
      estimate: 0,
      oldestArrival: 0,
      uncounted: new Map<number, Cost>(),
      sequence: 0,
    };
    team.demands.set(from, demand);
    return demand;
  }

  #next(): RouterDemand | undefined {
    let best: RouterDemand | undefined;
    let bestLevel = Infinity;
    for (const team of this.#queuedTeams) {
      const level = team.level + team.uncountedCost / team.weight;
      if (level > bestLevel) continue;
      const demand = this.#oldest(team);
      // Ties are broken by name, so that equal demand always gives the same grants.
      if (demand === undefined || (level === bestLevel && best && best.team.name < team.name)) {
        continue;
      }
      best = demand;
      bestLevel = level;
    }
    return best;
  }

  #oldest(team: TeamState): RouterDemand | undefined {
    let oldest: RouterDemand | undefined;
    let isWaiting = false;
    for (const demand of team.demands.values()) {
      if (demand.waiting === 0) continue;
      isWaiting = true;
      if (!this.#isPresent(demand.from)) continue;
      if (oldest === undefined || demand.oldestArrival < oldest.oldestArrival) oldest = demand;
    }
    if (!isWaiting) this.#queuedTeams.delete(team);
    return oldest;
  }
}

function removeUncounted(demand: RouterDemand, sequence: number): void {
  const cost = demand.uncounted.get(sequence);
  if (cost === undefined) return;
  demand.uncounted.delete(sequence);
  demand.team.uncountedCost =
    demand.uncounted.size === 0 ? uncountedSum(demand) : reducedBy(demand, cost);
}

function reducedBy({ team }: RouterDemand, cost: Cost): Cost {
  return Math.max(0, team.uncountedCost - cost);
}

/** The sum over all routers, computed afresh so that rounding errors do not accumulate. */
function uncountedSum({ team }: RouterDemand): Cost {
  let sum = 0;
  for (const { uncounted } of team.demands.values())
    for (const cost of uncounted.values()) sum += cost;
  return sum;
}

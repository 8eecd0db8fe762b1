// Selects the routers that callers are sent to. VMs differ much in size, and all callers of a team may use one
// router. A small VM is saturated by a few hundred requests a second: its event loop falls seconds behind, it
// sends requests to servers after their callers have left, and its reports to other routers are stale. So callers
// are sent to the largest VMs, to smaller ones only as far as needed, and to none that is saturated.

/** A router that callers may be sent to. */
export interface EntryRouter {
  readonly name: string;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
  /** Cores that it uses of these. */
  readonly used: number;
}

/** Min cores offered to callers: six of the smallest VMs of the published small deployments. */
const minOfferedCapacity = 4;
/**
 * Cores offered for each core in use, which leaves room for bursts and for the loss of a third of the offered
 * cores.
 */
const headroomFactor = 2.5;

/** Fraction of its VM at which a router counts as saturated; measured use never reaches the whole. */
const saturatedFraction = 0.9;

/**
 * Selects the routers that callers are sent to; saturated ones only if all are. Routers of equal size are selected
 * together or not at all, so that all routers that know the same sizes select the same ones.
 */
export function selectEntryRouters<Each extends EntryRouter>(
  routers: readonly Each[],
): readonly Each[] {
  const free = routers.filter((router) => router.used < saturatedFraction * router.capacity);
  const choice = free.length > 0 ? free : routers;
  const used = choice.reduce((sum, router) => sum + router.used, 0);
  const wanted = Math.max(minOfferedCapacity, headroomFactor * used);
  const bySize = [...choice].sort((a, b) => b.capacity - a.capacity);
  let offered = 0;
  let smallest = 0;
  for (const { capacity } of bySize) {
    if (offered >= wanted) break;
    offered += capacity;
    smallest = capacity;
  }
  return bySize.filter(({ capacity }) => capacity >= smallest);
}

// Load pattern: VMs of very different sizes, and a team whose callers keep to one router. A small VM is
// saturated by a few hundred requests a second: its event loop falls seconds behind, requests are sent on
// after their callers have left, and what it tells others is old. Callers are sent to the largest VMs, and to
// smaller ones only as far as they are needed; whoever can choose is kept away from a router that is saturated.

/** A router to which callers may be sent. */
export interface EntryRouter {
  readonly name: string;
  /** Speed of its VM, in cores. */
  readonly capacity: number;
  /** Cores that it uses of that. */
  readonly used: number;
}

/** Cores that are offered to callers at least; six of the smallest VMs of the published small deployments. */
const leastCapacity = 4;
/** Cores that are offered for each core in use, so that bursts and the loss of a third of them find room. */
const headroom = 2.5;

/** A router that uses this part of its VM has no processor time to spare; measured use never reaches the whole. */
const saturation = 0.9;

/**
 * The routers to which callers are sent; saturated ones only if all are. Routers of one size are all taken or left,
 * so that all that know the same sizes agree.
 */
export function selectEntryRouters<Each extends EntryRouter>(
  routers: readonly Each[],
): readonly Each[] {
  const free = routers.filter((router) => router.used < saturation * router.capacity);
  const choice = free.length > 0 ? free : routers;
  const used = choice.reduce((sum, router) => sum + router.used, 0);
  const wanted = Math.max(leastCapacity, headroom * used);
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

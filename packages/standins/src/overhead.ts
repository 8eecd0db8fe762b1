// Overhead of one router: the latency that it adds to a direct call, and its requests/s next to
// those of a plain forwarder.

import { rounded, percentile } from './arithmetic.js';
import { fileURLToPath } from 'node:url';
import { Child } from './child.js';
import { keyOf, type FleetSpec } from './spec.js';
import { clock, withFleet, type Measure, type MeasureOptions } from './scenario.js';
import { Agent, request } from 'undici';

const script = fileURLToPath(new URL('./forwarder.js', import.meta.url));

const target = 1;
/** Requests of one latency round; rounds of the ways take turns, so that they share the noise. */
const roundSize = 200;
const rounds = 8;
/** Requests open at once for the throughput. */
const open = 32;
const team = 'team-1';
const entry = 'desk-work';

export interface OverheadMeasure extends Measure {
  readonly requestsPerSecond: number;
  readonly forwarderRequestsPerSecond: number;
}

const spec: FleetSpec = {
  dataCentres: ['suva'],
  routers: 1,
  services: [
    { kind: 'plain', name: 'desk', servers: 1, settings: { cold: 2 * open, warm: 2 * open } },
  ],
  teams: [
    {
      name: team,
      weight: 1,
      entries: {
        [entry]: {
          service: 'desk',
          class: 'interactive',
          idempotent: true,
          maxWait: 10_000,
          maxRun: 10_000,
        },
      },
    },
  ],
  policy: 'fair',
  relays: false,
};

/** Compares a direct call, one router and the plain forwarder on a plain service. */
export async function overhead(options: MeasureOptions): Promise<OverheadMeasure> {
  return withFleet(spec, async (fleet) => {
    const server = fleet.servers[0]?.child.ready.address ?? '';
    const [router] = fleet.callerAddresses();
    const forwarder = await Child.start('forwarder', script, [server]);
    const direct = `http://${server}/pay`;
    const routed = `http://${router ?? ''}/v1/services/${entry}/pay`;
    const forwarded = `http://${forwarder.ready.address ?? ''}/pay`;
    const latencies = await medians([direct, routed, forwarded]);
    const time = (options.seconds * 1_000) / 2;
    const requestsPerSecond = await throughput(routed, time);
    const forwarderRequestsPerSecond = await throughput(forwarded, time);
    await forwarder.kill();
    const [base = 0, added = 0, plain = 0] = latencies;
    console.log(`median ms: direct ${base}, router ${added}, forwarder ${plain}`);
    return {
      name: 'overhead',
      seed: options.seed,
      target,
      value: rounded(added - base),
      baseline: rounded(plain - base),
      unit: 'ms',
      requestsPerSecond: Math.round(requestsPerSecond),
      forwarderRequestsPerSecond: Math.round(forwarderRequestsPerSecond),
    };
  });
}

async function medians(urls: readonly string[]): Promise<readonly number[]> {
  const agent = new Agent({ connections: 1 });
  const times = urls.map((): number[] => []);
  for (let round = 0; round <= rounds; round += 1) {
    for (const [index, url] of urls.entries()) {
      const taken = await roundOf(agent, url);
      // The first round warms up connections, limits and compiled code.
      if (round > 0) times[index]?.push(...taken);
    }
  }
  await agent.close();
  return times.map((each) => percentile(each, 0.5));
}

async function roundOf(agent: Agent, url: string): Promise<number[]> {
  const times: number[] = [];
  for (let index = 0; index < roundSize; index += 1) {
    const start = clock.now();
    await pay(agent, url);
    times.push(clock.now() - start);
  }
  return times;
}

async function throughput(url: string, time: number): Promise<number> {
  const agent = new Agent({ connections: open });
  const start = clock.now();
  let count = 0;
  const loop = async (): Promise<void> => {
    while (clock.now() - start < time) {
      await pay(agent, url);
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: open }, loop));
  const perSecond = (count / (clock.now() - start)) * 1_000;
  await agent.close();
  return perSecond;
}

async function pay(agent: Agent, url: string): Promise<void> {
  const response = await request(url, {
    method: 'POST',
    headers: { authorization: `Bearer ${keyOf(team)}`, 'content-type': 'application/json' },
    body: JSON.stringify({ payment: 'p', time: 0 }),
    dispatcher: agent,
  });
  await response.body.dump();
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode} from ${url}`);
}

// Schema of one router's settings: listening addresses, peers, platform, limits and log.

import { isIP } from 'node:net';
import type { Milliseconds } from '@catkinwheel/state';
import type { List, Scalar, Value } from './settingsParser.js';

const durationUnits: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
const byteUnits: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  MiB: 1_048_576,
  GiB: 1_073_741_824,
};

/** Parses a positive number with a unit, such as `5s` or `64MiB`; undefined if `value` is anything else. */
function parseQuantity(
  value: unknown,
  units: Readonly<Record<string, number>>,
): number | undefined {
  if (typeof value !== 'string') return undefined;
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(value);
  const factor = units[match?.[2] ?? ''];
  if (match === null || factor === undefined) return undefined;
  const result = Number(match[1]) * factor;
  return result > 0 ? result : undefined;
}

function isAddress(value: unknown, minPort: number): value is string {
  if (typeof value !== 'string') return false;
  const match = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/.exec(value);
  if (match === null) return false;
  const port = Number(match[3]);
  return isIP(match[1] ?? match[2] ?? '') !== 0 && port >= minPort && port <= 65_535;
}

/** A name of at most 63 characters that starts with a letter or digit. */
const name: Scalar<string> = {
  kind: 'scalar',
  expected: 'a name of letters, digits, "-", "_" or "."',
  read: (value) =>
    typeof value === 'string' && /^[A-Za-z0-9][\w.-]{0,62}$/.test(value) ? value : undefined,
};

const text: Scalar<string> = {
  kind: 'scalar',
  expected: 'a string that is not empty',
  read: (value) => (typeof value === 'string' && value !== '' ? value : undefined),
};

const secret: Scalar<string> = {
  kind: 'scalar',
  expected: 'a secret of at least 8 characters',
  read: (value) => (typeof value === 'string' && value.length >= 8 ? value : undefined),
};

const listenAddress: Scalar<string> = {
  kind: 'scalar',
  expected: 'an IP number and port such as 127.0.0.1:8080; port 0 lets the system choose',
  read: (value) => (isAddress(value, 0) ? value : undefined),
};

const address: Scalar<string> = {
  kind: 'scalar',
  expected: 'an IP number and port such as 10.0.0.1:8080',
  read: (value) => (isAddress(value, 1) ? value : undefined),
};

const optionalAddress = { ...address, optional: true } as const;
const addresses: List<string> = { kind: 'list', item: address };

function duration(fallback: Milliseconds): Scalar<Milliseconds> {
  return {
    kind: 'scalar',
    expected: 'a duration with a unit (ms, s, m, h) such as 500ms or 5s',
    read: (value) => parseQuantity(value, durationUnits),
    fallback,
  };
}

function bytes(fallback: number): Scalar<number> {
  return {
    kind: 'scalar',
    expected: 'a size with a unit (B, KiB, MiB, GiB) such as 64MiB',
    read: (value) => parseQuantity(value, byteUnits),
    fallback,
  };
}

function choice<const T extends string>(values: readonly T[], fallback: T): Scalar<T> {
  return {
    kind: 'scalar',
    expected: `one of ${values.join(', ')}`,
    read: (value) => values.find((candidate) => candidate === value),
    fallback,
  };
}

/** Schema of the settings file; every setting is described in docs/operations.md. */
export const settingsSchema = {
  kind: 'section',
  fields: {
    router: { kind: 'section', fields: { name, vm: name, dataCentre: name } },
    listen: {
      kind: 'section',
      fields: { callers: listenAddress, peers: listenAddress, admin: listenAddress },
    },
    advertise: {
      kind: 'section',
      fields: { callers: optionalAddress, peers: optionalAddress },
    },
    platform: { kind: 'section', fields: { address, timeout: duration(1_000) } },
    peers: { kind: 'section', fields: { secret, seeds: addresses } },
    operators: { kind: 'section', fields: { token: secret } },
    statsd: {
      kind: 'section',
      optional: true,
      fields: { address, prefix: { ...text, fallback: 'catkinwheel.' } },
    },
    tls: { kind: 'section', optional: true, fields: { certificate: text, key: text } },
    timing: { kind: 'section', fields: { directoryTtl: duration(5_000) } },
    limits: {
      kind: 'section',
      fields: { bodyBytes: bytes(1_048_576), queueBytes: bytes(67_108_864) },
    },
    log: {
      kind: 'section',
      fields: {
        level: choice(['debug', 'info', 'warn', 'error'], 'info'),
        format: choice(['json', 'pretty'], 'json'),
      },
    },
    policy: choice(['fair', 'equalShare', 'local'], 'fair'),
  },
} as const;

/** Validated settings of one router. */
export type Settings = Value<typeof settingsSchema>;

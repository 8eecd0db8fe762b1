import fc from 'fast-check';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { catalogueCodec } from './catalogueCodec.js';
import { decode } from './decode.js';
import { messageCodec } from './messageCodec.js';
import type { Message } from './peer.js';
import { loadReportCodec } from './serverControlCodec.js';

const name = fc.string({ minLength: 1, maxLength: 20 });
const wholeNumber = fc.nat();
// Amounts are sent in thousandths.
const amount = fc.integer().map((x) => x / 1000);
const router = fc.record({
  name,
  incarnation: name,
  vm: name,
  dataCentre: name,
  address: name,
  peerAddress: name,
});
const permit = fc.record({
  id: name,
  server: name,
  fence: wholeNumber,
  service: name,
  team: name,
  sequence: wholeNumber,
});
const keeper = fc.record({
  server: name,
  service: name,
  fence: wholeNumber,
  authority: fc.constantFrom('held' as const, 'acting' as const, 'none' as const),
  phase: fc.constantFrom('cold' as const, 'warming' as const, 'suspect' as const),
  limit: wholeNumber,
  inFlight: wholeNumber,
  boot: fc.string(),
});
const permits = fc.array(permit);
const outcome = fc.constantFrom('used' as const, 'broken' as const);
const release = fc.record({
  id: name,
  server: name,
  outcome,
  firstByte: fc.option(amount),
  cost: amount,
});
const demand = fc.record({
  team: name,
  interactive: wholeNumber,
  batch: wholeNumber,
  estimate: amount,
  oldest: amount,
  level: amount,
  counted: wholeNumber,
  weight: amount,
});
const kind = <K extends string>(value: K): fc.Arbitrary<K> => fc.constant(value);
const message: fc.Arbitrary<Message> = fc.oneof(
  fc.record({
    kind: kind('heartbeat'),
    router,
    revision: wholeNumber,
    platform: fc.boolean(),
    leaving: fc.boolean(),
    keepers: fc.array(keeper),
    floors: fc.array(fc.record({ service: name, level: amount })),
    members: fc.array(router),
  }),
  fc.record({
    kind: kind('demand'),
    service: name,
    complete: fc.boolean(),
    teams: fc.array(demand),
  }),
  fc.record({ kind: kind('grant'), permits }),
  fc.record({ kind: kind('release'), permits: fc.array(release) }),
  fc.record({
    kind: kind('started'),
    permits: fc.array(fc.record({ id: name, server: name, firstByte: amount })),
  }),
  fc.record({ kind: kind('revoke'), server: name, permits: fc.array(name) }),
  fc.record({ kind: kind('takeover'), server: name, fence: wholeNumber }),
  fc.record({ kind: kind('holding'), server: name, fence: wholeNumber, permits }),
  fc.record({
    kind: kind('handover'),
    server: name,
    fence: wholeNumber,
    limit: wholeNumber,
    permits,
  }),
  fc.record({
    kind: kind('report'),
    service: name,
    team: name,
    incarnation: name,
    sequence: wholeNumber,
    charge: amount,
    chargeAtLevel: amount,
    level: amount,
    waiting: wholeNumber,
    inFlight: wholeNumber,
    share: amount,
    acknowledged: wholeNumber,
  }),
  fc.record({
    kind: kind('level'),
    service: name,
    team: name,
    sequence: wholeNumber,
    level: amount,
    share: amount,
  }),
);

function encodedAsJson(value: Message): unknown[] {
  return JSON.parse(JSON.stringify(messageCodec.encode(value))) as unknown[];
}

test('every message is decoded to what was encoded, with JSON in between', () => {
  fc.assert(
    fc.property(message, (value) => {
      const plain: unknown = JSON.parse(JSON.stringify(value));
      assert.deepEqual(decode(messageCodec, encodedAsJson(value))._unsafeUnwrap(), plain);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('a message with one value too many or too few is rejected', () => {
  fc.assert(
    fc.property(message, (value) => {
      const tooMany = decode(messageCodec, [...encodedAsJson(value), 1]);
      assert.match(tooMany._unsafeUnwrapErr(), /^expected \d+ values, found \d+$/);
      const tooFew = decode(messageCodec, encodedAsJson(value).slice(0, -1));
      assert.match(tooFew._unsafeUnwrapErr(), /^expected \d+ values, found \d+$/);
    }),
    { seed: 2, numRuns: 200 },
  );
});

test('decoding never throws, whatever the JSON value', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      decode(messageCodec, value);
      decode(catalogueCodec, value);
      decode(loadReportCodec, value);
    }),
    { seed: 3, numRuns: 500 },
  );
});

const invalidInputs: readonly {
  readonly title: string;
  readonly input: unknown;
  readonly error: RegExp;
}[] = [
  { title: 'not a list', input: { kind: 'grant' }, error: /^expected a list, found an object$/ },
  { title: 'unknown kind', input: ['gossip'], error: /^kind: expected one of heartbeat, / },
  {
    title: 'a value of the wrong type in a list',
    input: ['revoke', 's', ['a', 5]],
    error: /^permits\.1: expected a name/,
  },
  {
    title: 'a fencing token that is not a whole number',
    input: ['takeover', 's', 1.5],
    error: /^fence: expected a whole number of 0 or more, found number 1.5$/,
  },
  {
    title: 'a nested list of the wrong length',
    input: ['demand', 's', true, [['team']]],
    error: /^teams\.0: expected 8 values, found 1$/,
  },
];

for (const { title, input, error } of invalidInputs) {
  test(`${title}: the error contains the path`, () => {
    assert.match(decode(messageCodec, input)._unsafeUnwrapErr(), error);
  });
}

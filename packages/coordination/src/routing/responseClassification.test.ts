// Load pattern: servers that answer twice, the second time late, on connections that are kept for the next requests.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  belongsToOtherRequest,
  classifyResponse,
  type ResponseFacts,
  type ResponseClass,
  type Standpoint,
} from './responseClassification.js';

const whole: ResponseFacts = {
  status: 200,
  namedRequest: 'thisRequest',
  isSigned: true,
  declaresNotRun: false,
  statusImpliesNotRun: false,
  isEncoded: false,
};
const first: Standpoint = { hasRelayedPart: false, mayRetry: true };
const last: Standpoint = { hasRelayedPart: false, mayRetry: false };
const continued: Standpoint = { hasRelayedPart: true, mayRetry: false };

function kindOf(changes: Partial<ResponseFacts>, standpoint: Standpoint): ResponseClass['kind'] {
  return classifyResponse({ ...whole, ...changes }, standpoint).kind;
}

// Guards against a caller that gets the late second answer to the request before, whatever it says.
test('an answer that does not name the request is never used, be it a success, a failure or a refusal', () => {
  for (const names of ['anotherRequest', 'noRequest'] as const)
    for (const changes of [
      {},
      { status: 500 },
      { status: 500, isSigned: false },
      { status: 503, isNotRun: true, isPromise: true, isSigned: false },
      { status: 421, isNotRun: true, isPromise: true, isSigned: false },
    ])
      assert.ok(belongsToOtherRequest({ ...whole, ...changes, namedRequest: names }));
  assert.ok(!belongsToOtherRequest(whole));
});

// Guards against a success that no server signed, and against a body that is not the server's.
test('a success without signature or with an encoded body is not handed on', () => {
  assert.equal(kindOf({}, last), 'accepted');
  assert.ok(belongsToOtherRequest({ ...whole, isSigned: false }));
  assert.ok(!belongsToOtherRequest({ ...whole, status: 500, isSigned: false }));
  assert.equal(kindOf({ isEncoded: true }, last), 'unusable');
});

// Guards against telling a caller that its request has not run, when its server does not say so.
test('a status that promises not to have run is handed on only as the router’s own', () => {
  assert.equal(
    kindOf({ status: 503, statusImpliesNotRun: true, declaresNotRun: true }, last),
    'notRun',
  );
  for (const status of [408, 429, 503])
    assert.equal(kindOf({ status, statusImpliesNotRun: true }, last), 'unusable');
});

// Guards against callers that repeat a request which servers call bad, because they are told that none had room.
test('a request that servers call bad is tried once more, and then its caller gets their answer', () => {
  assert.equal(kindOf({ status: 400, declaresNotRun: true }, first), 'notRun');
  assert.equal(kindOf({ status: 400, declaresNotRun: true }, last), 'accepted');
});

// Guards against a failure in the middle of a stream, and against failures that another server could spare the caller.
test('a failure is handed on if nothing was before it and no other server is tried', () => {
  assert.equal(kindOf({ status: 500 }, last), 'accepted');
  assert.equal(kindOf({ status: 404 }, first), 'accepted');
  assert.equal(kindOf({ status: 500 }, first), 'unusable');
  assert.equal(kindOf({ status: 404 }, continued), 'unusable');
});

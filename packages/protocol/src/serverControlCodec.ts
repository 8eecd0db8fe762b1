// Codecs of servers' load reports and of keepers' orders to servers.

import type { Codec } from 'purify-ts';
import {
  finiteNumber,
  nonNegativeInteger,
  strictObject,
  flag,
  list,
  name,
  oneOf,
  text,
} from './codec.js';
import type { LoadReport, Order } from './serverControl.js';

export const loadReportCodec: Codec<LoadReport> = strictObject<LoadReport>({
  boot: name,
  running: nonNegativeInteger,
  waiting: nonNegativeInteger,
  leaving: flag,
  models: list(text),
  age: finiteNumber,
});

export const orderCodec: Codec<Order> = strictObject<Order>({
  kind: oneOf('load'),
  model: name,
  fence: nonNegativeInteger,
});

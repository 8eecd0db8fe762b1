// Codecs of load reports and orders.

import type { Codec } from 'purify-ts';
import { amount, count, exact, flag, list, name, oneOf, text } from './codec.js';
import type { Load, Order } from './server.js';

export const loadCodec: Codec<Load> = exact<Load>({
  boot: name,
  running: count,
  waiting: count,
  leaving: flag,
  models: list(text),
  age: amount,
});

export const orderCodec: Codec<Order> = exact<Order>({
  kind: oneOf('load'),
  model: name,
  fence: count,
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import parseKeepAliveTimeout from '../src/http/parseKeepAliveTimeout';

test('parses the idle timeout of a keep-alive header', () => {
  const cases: [string | string[] | undefined, number | undefined][] = [
    ['timeout=5', 5000],
    ['max=100, timeout=12', 12_000],
    ['Timeout=3', 3000],
    [['timeout=7', 'timeout=9'], 7000],
    ['max=100', undefined],
    ['idletimeout=4', undefined],
    ['', undefined],
    [undefined, undefined],
  ];
  cases.forEach(([value, idleTimeoutMs]) => assert.equal(parseKeepAliveTimeout(value), idleTimeoutMs, `${value}`));
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import applyPatch from '@guavayard/core/configuration/applyPatch';
import createDeclaredPatch from '@guavayard/core/configuration/createDeclaredPatch';
import describeChanges from '@guavayard/core/configuration/describeChanges';
import Configuration from '@guavayard/core/types/Configuration';

const CURRENT = {
  version: 4,
  configuration: Configuration.parse({
    services: { listing: {} },
    dataCentres: { 'munster-1': { region: 'munster', state: 'in' } },
    routes: { lots: { pathPrefix: '/lots', service: 'listing' } },
  }),
};

const DECLARED = Configuration.parse({
  services: { listing: {} },
  dataCentres: {
    'munster-1': { region: 'munster', state: 'out' },
    'leinster-1': { region: 'leinster', state: 'in' },
  },
});

test('a declaration becomes a patch that applies it', () => {
  const patch = createDeclaredPatch(CURRENT, DECLARED);
  assert.deepEqual(applyPatch(CURRENT, patch).unwrap(), { version: 5, configuration: DECLARED });
  assert.deepEqual(describeChanges(CURRENT.configuration, patch).sort(), [
    '+ /dataCentres/leinster-1: {"region":"leinster","state":"in"}',
    '- /routes/lots: {"pathPrefix":"/lots","service":"listing"}',
    '~ /dataCentres/munster-1/state: "in" -> "out"',
  ]);
});

test('a patch id depends on the declaration and on the base version', () => {
  const { id } = createDeclaredPatch(CURRENT, DECLARED);
  assert.equal(createDeclaredPatch(CURRENT, DECLARED).id, id);
  assert.notEqual(createDeclaredPatch({ ...CURRENT, version: 5 }, DECLARED).id, id);
});

test('a declaration equal to the configuration gives an empty patch', () => {
  assert.deepEqual(createDeclaredPatch(CURRENT, CURRENT.configuration).operations, []);
});

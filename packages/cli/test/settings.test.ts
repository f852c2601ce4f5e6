import assert from 'node:assert/strict';
import { test } from 'node:test';

import parseSettings from '../src/settings/parseSettings';

const VALID = `
[vm]
name = "vm-1"
region = "munster"
dataCentre = "munster-1"
roles = ["entry", "control"]
listen = "127.0.0.1:7400"
control = ["127.0.0.1:7400"]
keyFile = "key"
[caller]
listen = "127.0.0.1:7401"
[target]
listen = "127.0.0.1:7402"
[operator]
listen = "127.0.0.1:7403"
tokenFile = "token"
[disk]
folder = "data"
`;

interface InvalidSettings {
  readonly from: string;
  readonly to: string;
  readonly messages: readonly string[];
}

const INVALID: readonly InvalidSettings[] = [
  { from: 'name = "vm-1"', to: '', messages: ['vm.name: expected string, found nothing'] },
  {
    from: 'name = "vm-1"',
    to: 'name = "VM 1"',
    messages: ['vm.name: expected lower-case letters, digits, ".", "_" and "-", found "VM 1"'],
  },
  { from: 'region = "munster"', to: 'region = 7', messages: ['vm.region: expected string, found 7'] },
  {
    from: '["entry", "control"]',
    to: '["entree"]',
    messages: ['vm.roles.0: expected one of "entry", "control", found "entree"'],
  },
  { from: '["entry", "control"]', to: '[]', messages: ['vm.roles: expected at least 1, found []'] },
  {
    from: '127.0.0.1:7401',
    to: 'localhost',
    messages: ['caller.listen: expected IP:PORT, found "localhost"'],
  },
  { from: 'tokenFile = "token"', to: 'token = "x"', messages: ['operator.tokenFile: expected string, found nothing', 'operator.token: unknown key'] },
  {
    from: '[disk]\nfolder = "data"',
    to: '',
    messages: ['disk: expected a section [disk] for role "control", found nothing'],
  },
  {
    from: '[disk]',
    to: '[log]\nlevel = "loud"\n[disk]',
    messages: ['log.level: expected one of "debug", "info", "warn", "error", found "loud"'],
  },
  {
    from: '[caller]',
    to: '[caller',
    messages: ['line 10, column 8: Invalid TOML document: illegal character in key'],
  },
];

test('valid settings are accepted', () => {
  assert.ok(parseSettings(VALID).ok);
});

INVALID.forEach(({ from, to, messages }, index) => {
  test(`invalid settings ${index + 1} give exact error messages`, () => {
    assert.ok(VALID.includes(from));
    assert.deepEqual(parseSettings(VALID.replace(from, to)).val, messages);
  });
});

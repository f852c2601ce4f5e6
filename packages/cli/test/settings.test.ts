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

interface WrongSettings {
  readonly from: string;
  readonly to: string;
  readonly mistakes: readonly string[];
}

const WRONG: readonly WrongSettings[] = [
  { from: 'name = "vm-1"', to: '', mistakes: ['vm.name: expected string, found nothing'] },
  {
    from: 'name = "vm-1"',
    to: 'name = "VM 1"',
    mistakes: ['vm.name: expected lower-case letters, digits, ".", "_" and "-", found "VM 1"'],
  },
  { from: 'region = "munster"', to: 'region = 7', mistakes: ['vm.region: expected string, found 7'] },
  {
    from: '["entry", "control"]',
    to: '["entree"]',
    mistakes: ['vm.roles.0: expected one of "entry", "control", found "entree"'],
  },
  { from: '["entry", "control"]', to: '[]', mistakes: ['vm.roles: expected at least 1, found []'] },
  {
    from: '127.0.0.1:7401',
    to: 'localhost',
    mistakes: ['caller.listen: expected IP:PORT, found "localhost"'],
  },
  { from: 'tokenFile = "token"', to: 'token = "x"', mistakes: ['operator.tokenFile: expected string, found nothing', 'operator.token: unknown key'] },
  {
    from: '[disk]\nfolder = "data"',
    to: '',
    mistakes: ['disk: expected a section [disk] for role "control", found nothing'],
  },
  {
    from: '[disk]',
    to: '[log]\nlevel = "loud"\n[disk]',
    mistakes: ['log.level: expected one of "debug", "info", "warn", "error", found "loud"'],
  },
  {
    from: '[caller]',
    to: '[caller',
    mistakes: ['line 10, column 8: Invalid TOML document: illegal character in key'],
  },
];

test('valid settings are taken', () => {
  assert.ok(parseSettings(VALID).ok);
});

WRONG.forEach(({ from, to, mistakes }, index) => {
  test(`wrong settings ${index + 1} give an exact message`, () => {
    assert.ok(VALID.includes(from));
    assert.deepEqual(parseSettings(VALID.replace(from, to)).val, mistakes);
  });
});

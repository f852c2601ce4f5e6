import assert from 'node:assert/strict';
import { test } from 'node:test';

import commands from '../src/commands/commands';
import describeCommand from '../src/commands/describeCommand';
import optionTable from '../src/commands/optionTable';

commands.forEach((command) => {
  test(`${command.name} --help describes every option`, () => {
    const names = [...command.usage.matchAll(/--([a-z-]+)/g)].map(([, name = '']) => name);
    const help = describeCommand(command);
    names.forEach((name) => {
      assert.ok(optionTable[name], `--${name} is not explained`);
      assert.ok(help.includes(optionTable[name] ?? ''));
    });
    assert.ok(help.includes(command.summary));
  });
});

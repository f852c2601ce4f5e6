/* eslint import-x/extensions: ['error', 'ignorePackages'] -- Node finds modules by full names. */
import runStopCase from '../support/runStopCase.mjs';

await runStopCase(import.meta.dirname, { isSafe: false, isMute: true });

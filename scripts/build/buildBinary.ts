import { execFileSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import {
  chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';

import { build, type Plugin } from 'esbuild';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const EXECUTABLE_MODE = 0o755;
/** Stands for the build id while the bundle is made, as the id is a hash of the bundle. */
const BUILD_ID_PLACEHOLDER = '@build-id@';
/** Length of the build id, in hexadecimal digits. */
const BUILD_ID_DIGITS = 12;
/** Optional native modules and their helpers; the libraries work without them. */
const EXTERNAL = [
  'dtrace-provider', 'unix-dgram', 'cbor-extract', 'source-map-support',
  'mv', 'safe-json-stringify', 'moment',
];

// Makes optional modules fail to load immediately, even next to a node_modules folder: resolving
// them and loading their dependencies would slow down the start.
// While the snapshot is built, errors have no stack trace: some libraries create errors when they
// are loaded and fail if a stack is missing. `node:module` cannot be in a snapshot; libraries only
// use it to create a `require` function.
const BANNER = `Error.stackTraceLimit = 0;
require = ((load) => (id) => {
  if (id === 'module') return { createRequire: () => require };
  if (!${JSON.stringify(EXTERNAL)}.includes(id)) return load(id);
  throw Object.assign(new Error('not in the binary: ' + id), { code: 'MODULE_NOT_FOUND' });
})(require);`;

/** Replaces the placeholder of the build id. The same sources get the same id in any folder. */
function stampBundle(path: string): void {
  const bundle = readFileSync(path, 'utf8');
  const id = createHash('sha256').update(bundle).digest('hex').slice(0, BUILD_ID_DIGITS);
  writeFileSync(path, bundle.replaceAll(BUILD_ID_PLACEHOLDER, id));
}

/**
 * Builds the binary from the sources in the current folder.
 *
 * @param folder - output folder
 * @param plugins - plugins of the bundler, by which tests build variants of the program
 * @returns nothing, once `guavayard` is in the output folder
 */
export default async function buildBinary(
  folder: string,
  plugins: readonly Plugin[] = [],
): Promise<void> {
  mkdirSync(folder, { recursive: true });
  await build({
    entryPoints: ['packages/cli/src/snapshot.ts'],
    outfile: `${folder}/guavayard.js`,
    bundle: true,
    minify: true,
    keepNames: true,
    platform: 'node',
    target: 'node20',
    alias: { 'ts-results': './node_modules/ts-results/esm/index.js' },
    external: EXTERNAL,
    define: { BUILD_ID: JSON.stringify(BUILD_ID_PLACEHOLDER) },
    plugins: [...plugins],
    banner: { js: BANNER },
    logLevel: 'error',
  });
  stampBundle(`${folder}/guavayard.js`);
  writeFileSync(`${folder}/sea.json`, JSON.stringify({
    main: `${folder}/guavayard.js`, output: `${folder}/sea.blob`, disableExperimentalSEAWarning: true, useSnapshot: true,
  }));
  execFileSync(process.execPath, ['--experimental-sea-config', `${folder}/sea.json`], { stdio: 'pipe' });
  copyFileSync(process.execPath, `${folder}/guavayard`);
  chmodSync(`${folder}/guavayard`, EXECUTABLE_MODE);
  execFileSync('node_modules/.bin/postject', [
    `${folder}/guavayard`, 'NODE_SEA_BLOB', `${folder}/sea.blob`, '--sentinel-fuse', SENTINEL_FUSE,
  ], { stdio: 'pipe' });
}

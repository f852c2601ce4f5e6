import { resolve } from 'node:path';

import type SourceEdit from './SourceEdit';

const HELPER = resolve('scripts/build/variant/delaySync');
const LOG = 'packages/disk/src/ReplicaLog.ts';
const MARKS = 'packages/disk/src/SyncMarkFile.ts';
const RENAME = 'await rename(this.folder.pathOf(NEW_FILE), this.folder.pathOf(FILE));';

/** The program with syncs of the log and its marks that take as long as a test says. */
const slowDiskEdits: readonly SourceEdit[] = [
  {
    path: LOG,
    from: "import encodeRecord from './encodeRecord';",
    to: `import encodeRecord from './encodeRecord';
      import delaySync from '${HELPER}';`,
  },
  { path: LOG, from: 'await this.handle.datasync();', to: 'await this.handle.datasync();\nawait delaySync();' },
  { path: LOG, from: 'await next.sync();', to: 'await next.sync();\nawait delaySync();' },
  { path: LOG, from: RENAME, to: `${RENAME}\nawait delaySync();` },
  {
    path: MARKS,
    from: "import encodeRecord from './encodeRecord';",
    to: `import encodeRecord from './encodeRecord';
      import delaySync from '${HELPER}';`,
  },
  { path: MARKS, from: 'await this.handle.datasync();', to: 'await this.handle.datasync();\nawait delaySync();' },
];

export default slowDiskEdits;

import buildVariant from './build/variant/buildVariant';
import slowDiskEdits from './build/variant/slowDiskEdits';
import sourceEdits from './build/variant/sourceEdits';

const [folder = 'dist/variant', kind = 'later'] = process.argv.slice(2);

buildVariant(folder, kind === 'slow-disks' ? slowDiskEdits : sourceEdits).catch((err: Error) => {
  process.stderr.write(`${err.stack}\n`);
  process.exitCode = 1;
});

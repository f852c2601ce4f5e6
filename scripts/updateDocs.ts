import { readFileSync, writeFileSync } from 'node:fs';

import createDocTables from './docs/createDocTables';
import fillDocTable from './docs/fillDocTable';

createDocTables().forEach((table) => {
  writeFileSync(table.page, fillDocTable(readFileSync(table.page, 'utf8'), table));
});

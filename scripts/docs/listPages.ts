import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const HEADING = /^# (.+)$/m;

/**
 * Lists the pages in a subfolder of `docs` for an index page.
 *
 * @param folder - name of the folder
 * @returns one row per page: link and heading
 */
export default function listPages(folder: string): string[][] {
  const path = join('docs', folder);
  if (!existsSync(path)) return [];
  return readdirSync(path).filter((name) => name.endsWith('.md')).sort().map((name) => {
    const heading = HEADING.exec(readFileSync(join(path, name), 'utf8'))?.[1] ?? '';
    return [`[${name}](${folder}/${name})`, heading];
  });
}

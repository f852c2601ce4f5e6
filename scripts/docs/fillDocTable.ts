import type DocTable from './DocTable';

function renderRows(rows: DocTable['rows']): string {
  const [headings = [], ...body] = rows;
  const lines = [headings, headings.map(() => '---'), ...body];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/**
 * Puts a table between its comments in the text of a page.
 *
 * @param text - the page
 * @param table - the table
 * @returns the page with the table as it should be
 * @throws if the page has no place for the table
 */
export default function fillDocTable(text: string, table: DocTable): string {
  const begin = `<!-- table: ${table.name} -->\n`;
  const end = `\n<!-- end: ${table.name} -->`;
  const start = text.indexOf(begin);
  const stop = text.indexOf(end, start);
  if (start < 0 || stop < 0) throw new Error(`${table.page}: no place for the table ${table.name}`);
  return text.slice(0, start) + begin + renderRows(table.rows) + text.slice(stop);
}

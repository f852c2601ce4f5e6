import type DocTable from './DocTable';

function renderRows(rows: DocTable['rows']): string {
  const [headings = [], ...body] = rows;
  const lines = [headings, headings.map(() => '---'), ...body];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/**
 * Replaces the text between the marker comments of a table in a page.
 *
 * @param text - the text of the page
 * @param table - the table
 * @returns the text with the current table
 * @throws if the page lacks the marker comments of the table
 */
export default function fillDocTable(text: string, table: DocTable): string {
  const begin = `<!-- table: ${table.name} -->\n`;
  const end = `\n<!-- end: ${table.name} -->`;
  const start = text.indexOf(begin);
  const stop = text.indexOf(end, start);
  if (start < 0 || stop < 0) throw new Error(`${table.page}: no marker comments for table ${table.name}`);
  return text.slice(0, start) + begin + renderRows(table.rows) + text.slice(stop);
}

const COLUMN_GAP = '  ';

/**
 * Renders rows as text with aligned columns.
 *
 * @param rows - the cells of each row; the first row holds the headings
 * @returns the lines of text
 */
export default function renderTable(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) => (
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  ));
  return rows.map((row) => row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(COLUMN_GAP)
    .trimEnd());
}

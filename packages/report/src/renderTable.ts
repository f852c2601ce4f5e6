const COLUMN_GAP = '  ';

/**
 * Renders rows as text in columns.
 *
 * @param rows - the cells of each row, the first row holding the headings
 * @returns the lines
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

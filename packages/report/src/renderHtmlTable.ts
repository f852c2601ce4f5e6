import escapeHtml from './escapeHtml';

/**
 * Renders rows as an HTML table that scrolls horizontally on narrow screens.
 *
 * @param caption - caption of the table
 * @param rows - the cells of each row as plain text; the first row holds the headings
 * @returns HTML markup
 */
export default function renderHtmlTable(
  caption: string,
  rows: readonly (readonly string[])[],
): string {
  const [headings = [], ...body] = rows;
  const head = headings.map((cell) => `<th scope="col">${escapeHtml(cell)}</th>`).join('');
  const lines = body
    .map((row) => `<tr>${row.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`)
    .join('');
  return `<div class="scroll"><table><caption>${escapeHtml(caption)}</caption>`
    + `<thead><tr>${head}</tr></thead><tbody>${lines}</tbody></table></div>`;
}

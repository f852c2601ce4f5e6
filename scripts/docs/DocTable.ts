/** A table that stands in a page and is made from the code. */
interface DocTable {
  /** Page that holds the table, from the root. */
  readonly page: string;
  /** Name in the comments around the table. */
  readonly name: string;
  /** Cells of each row, the first row holding the headings. */
  readonly rows: readonly (readonly string[])[];
}

export default DocTable;

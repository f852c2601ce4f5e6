/** A table of a documentation page that is generated from the code. */
interface DocTable {
  /** Path of the page, relative to the root of the repository. */
  readonly page: string;
  /** Name in the marker comments around the table. */
  readonly name: string;
  /** Cells of each row; the first row contains the headings. */
  readonly rows: readonly (readonly string[])[];
}

export default DocTable;

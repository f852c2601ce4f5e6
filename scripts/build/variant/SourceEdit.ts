/** Replaces a text in a source file while a variant of the program is built. */
interface SourceEdit {
  /** Path of the file from the root of the repository. */
  readonly path: string;
  /** Text that is replaced; it must be in the file exactly once. */
  readonly from: string;
  readonly to: string;
}

export default SourceEdit;

/** One key of the settings. */
interface SettingRow {
  readonly key: string;
  readonly type: string;
  /** `yes`, `no`, or what stands in its place. */
  readonly required: string;
  readonly description: string;
}

export default SettingRow;

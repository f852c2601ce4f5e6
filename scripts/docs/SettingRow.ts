/** One key of the settings. */
interface SettingRow {
  readonly key: string;
  readonly type: string;
  /** `yes`, `no`, or the default value. */
  readonly required: string;
  readonly description: string;
}

export default SettingRow;

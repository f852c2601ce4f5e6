/** What each option of the command line means; an option means the same to every command. */
const optionTable: Readonly<Record<string, string>> = {
  settings: 'settings file of this VM, in TOML',
  url: 'operators\' API of a control VM, as in http://10.0.0.1:7403',
  'token-file': 'file that holds the operators\' token',
  base: 'version of the configuration that the patch was made against',
  id: 'id of the patch, chosen by you; a resend with the same id is recognised',
  json: 'print JSON for programs',
  watch: 'print again every 2 s until interrupted',
  page: 'write one HTML page, with a plot, that needs no other file',
  'dry-run': 'print the changes and submit nothing',
  wait: 'return only when the change is in force on every entry',
};

export default optionTable;

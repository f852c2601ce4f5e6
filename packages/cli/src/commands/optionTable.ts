/** Description of each command-line option; an option has the same meaning in all commands. */
const optionTable: Readonly<Record<string, string>> = {
  settings: 'settings file of this VM, in TOML',
  url: 'operators\' API of a control VM, e.g. http://10.0.0.1:7403',
  'token-file': 'file that holds the operators\' token',
  base: 'version of the configuration that the patch is based on',
  id: 'id of the patch, chosen by you; a retry with the same id is recognised',
  json: 'print JSON',
  watch: 'refresh every 2 s until interrupted',
  page: 'write a self-contained HTML page with a plot',
  'dry-run': 'print the changes and submit nothing',
  wait: 'return only when the change is in force on every entry',
};

export default optionTable;

/** Paths of the PEM files with which a VM proves its identity to the others. */
interface TlsFiles {
  /** Certificate of this VM; its subject alternative names include the VM's IP address. */
  readonly certificateFile: string;
  readonly keyFile: string;
  /** Certificate of the authority that signs the certificates of all VMs. */
  readonly authorityFile: string;
}

export default TlsFiles;

package start

// SettingsVariable is the environment variable with the path of a platform role's settings file.
const SettingsVariable = "GERANIUMPASS_BOOT"

package setup

// Platform holds the addresses of the platform's services.
type Platform struct {
	KeyValue     string `json:"key_value" validate:"required,hostport_ip"`
	InstanceList string `json:"instance_list" validate:"required,hostport_ip"`
}

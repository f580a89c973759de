package setup

// Platform is where the platform's services answer.
type Platform struct {
	KeyValue     string `json:"key_value" validate:"required,hostport_ip"`
	InstanceList string `json:"instance_list" validate:"required,hostport_ip"`
}
